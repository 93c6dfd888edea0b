import {
  type RequestTokens,
  SPEED_MEASURES,
  type SpeedMeasure,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import type { Lane } from "../fleet/load_tracker.ts";

/** Events after which the time between them is measured. */
const EVENTS_A_SAMPLE = 8;

type TimedWork = {
  readonly upstream: UpstreamEntry;
  readonly lane: Lane;
  readonly tokens?: RequestTokens | undefined;
};

/** Measures how long an upstream takes for an answer and its events. */
export class AnswerTimer {
  readonly #view: FleetView;
  readonly #upstream: UpstreamEntry;
  readonly #tokens: RequestTokens | undefined;
  readonly #lane: Lane;
  /** Bytes of the request's and the answer's bodies so far. */
  #bytes: number;
  readonly #sentMs: number;
  /** Part of the slots in use as the request was sent, with it. */
  readonly #sentLoad: number;
  #firstMs: number | undefined;
  /** Where the measured run of events began. */
  #mark = { events: 0, atMs: 0 };
  #isHeldUp = false;

  constructor(
    view: FleetView,
    { upstream, tokens, lane }: TimedWork,
    requestBytes: number,
  ) {
    this.#view = view;
    this.#upstream = upstream;
    this.#tokens = tokens;
    this.#lane = lane;
    this.#bytes = requestBytes;
    this.#sentMs = view.readNowMs();
    this.#sentLoad = this.#measureLoad();
  }

  /** Records that the attempt has given up its place. */
  recordRelease(): void {
    this.#view.leaving.recordAttempt(this.#upstream, this.#lane, this.#bytes);
  }

  /**
   * Records that `events` have arrived, the last ones in a chunk of `bytes`;
   * `hasRoom`: the caller reads on.
   */
  recordEvents(events: number, bytes: number, hasRoom: boolean): void {
    this.#bytes += bytes;
    const nowMs = this.#view.readNowMs();
    if (events > 0 && this.#firstMs === undefined) {
      this.#firstMs = nowMs;
      this.#mark = { events, atMs: nowMs };
      this.#recordFromStart(SPEED_MEASURES.first, nowMs);
    }
    const passed = events - this.#mark.events;
    if (passed >= EVENTS_A_SAMPLE) {
      if (!this.#isHeldUp) {
        const eventMs = (nowMs - this.#mark.atMs) / passed;
        this.#record(SPEED_MEASURES.event, this.#measureLoad(), eventMs);
      }
      this.#mark = { events, atMs: nowMs };
      this.#isHeldUp = false;
    }
    // A caller that reads slowly says nothing of the upstream.
    this.#isHeldUp ||= !hasRoom;
  }

  /** Records that the answer is whole; one held up by its caller says nothing. */
  recordEnd(): void {
    const nowMs = this.#view.readNowMs();
    if (this.#firstMs === undefined && !this.#isHeldUp) {
      this.#recordFromStart(SPEED_MEASURES.whole, nowMs);
    }
  }

  /** Time since the request was sent, as it would be at a usual upstream, in ms. */
  computeUsualMs(): number {
    const nowMs = this.#view.readNowMs();
    const slowness = this.#view.speeds.getSlowness(this.#upstream, nowMs);
    return (nowMs - this.#sentMs) / slowness;
  }

  /** A request that may have waited for a slot says nothing of the speed. */
  #recordFromStart(measure: SpeedMeasure, nowMs: number): void {
    if (this.#sentLoad <= 1) {
      this.#record(measure, this.#sentLoad, nowMs - this.#sentMs);
    }
  }

  #record(measure: SpeedMeasure, load: number, tookMs: number): void {
    const { service } = this.#upstream;
    const like = { measure, service, tokens: this.#tokens, load };
    const nowMs = this.#view.readNowMs();
    this.#view.speeds.recordTime(this.#upstream, like, tookMs, nowMs);
  }

  #measureLoad(): number {
    const { id, slots } = this.#upstream;
    const nowMs = this.#view.readNowMs();
    const { online, batch } = this.#view.load.countInFlight(id, nowMs);
    return (online + batch) / Math.max(1, slots);
  }
}
