import type { UpstreamEntry } from "@gooseberryline/core";
import { chooseUpstream, type FleetView } from "@gooseberryline/gateway";
import type { VirtualFleet } from "./virtual_fleet.ts";

/** Length of a lull and of the burst that follows it, in ms. */
const LULL_MS = 3_400;
const PERIOD_MS = 5_800;
const PROMPTS = 1_691;
const OBJECTIVE_MS = 300;
const DEADLINE_MS = 5_000;
/** Time for the first event, beyond twice the expected wait, in ms. */
const FIRST_EVENT_MS = 150;
const MIN_RUN_MS = 450;
const RUN_SPREAD_MS = 500;
/** Attempts that may run; the last one waits until its deadline. */
const MAX_RUNS = 2;
const RETRY_MS = 20;

type OnlineRequest = {
  readonly receivedMs: number;
  readonly prompt: string;
  readonly tried: ReadonlySet<string>;
  readonly runs: number;
};

/** Sends online requests as an instance that serves callers does. */
export class VirtualEdge {
  readonly #fleet: VirtualFleet;
  readonly #view: FleetView;

  constructor(fleet: VirtualFleet, view: FleetView) {
    this.#fleet = fleet;
    this.#view = view;
  }

  start(): void {
    const { clock, options } = this.#fleet;
    const { edges, upstreams, lullRate, burstRate } = options;
    const isBurst = clock.nowMs % PERIOD_MS >= LULL_MS;
    const perUpstream = isBurst ? burstRate : lullRate;
    const rate = (perUpstream * upstreams * this.#getShare()) / edges;
    clock.startTimer(this.#fleet.drawGapMs(rate), () => {
      this.#fleet.counts.requests += 1;
      const prompt = `p${Math.floor(this.#fleet.draw() * PROMPTS)}`;
      const receivedMs = clock.nowMs;
      this.#place({ receivedMs, prompt, tried: new Set(), runs: 0 });
      this.start();
    });
  }

  /** Returns this data centre's demand relative to the mean. */
  #getShare(): number {
    const { demand, dataCentres } = this.#fleet.options;
    const own = Number(this.#view.settings.dataCentre.slice(2));
    return demand === undefined ? 1 : (demand[own] ?? 0) * dataCentres;
  }

  #place(request: OnlineRequest): void {
    const { clock, counts } = this.#fleet;
    const leftMs = request.receivedMs + DEADLINE_MS - clock.nowMs;
    if (leftMs <= 0) {
      counts.late += 1;
      return;
    }
    const { tried, prompt, receivedMs } = request;
    const placement = chooseUpstream(
      this.#view,
      {
        service: "s",
        path: "/",
        head: { affinityKey: prompt, requestId: undefined },
        route: { objectiveMs: OBJECTIVE_MS, name: "r" },
        receivedMs,
      },
      { tried, leftMs, origin: undefined },
    );
    if (placement.kind === "placed") {
      this.#send(request, placement.upstream, placement.waitMs, leftMs);
    } else {
      clock.startTimer(RETRY_MS, () => this.#place(request));
    }
  }

  #send(
    request: OnlineRequest,
    entry: UpstreamEntry,
    waitMs: number,
    leftMs: number,
  ): void {
    const { clock, counts } = this.#fleet;
    const upstream = this.#fleet.getUpstream(entry.id);
    const { load } = this.#view;
    counts.attempts += 1;
    counts.crowded += upstream.isFull() ? 1 : 0;
    this.#view.recordSend(entry, "online");
    const isOwn = entry.dataCentre === this.#view.settings.dataCentre;
    counts.crossed += isOwn ? 0 : 1;
    const sentMs = clock.nowMs;
    let begunMs = sentMs;
    let hasBegun = false;
    const runMs = MIN_RUN_MS + this.#fleet.draw() * RUN_SPREAD_MS;
    const cancel = upstream.accept({
      runMs,
      onBegin: () => {
        hasBegun = true;
        begunMs = clock.nowMs;
        counts.waitMs += clock.nowMs - request.receivedMs;
        const isLate = clock.nowMs - request.receivedMs > OBJECTIVE_MS;
        counts.late += isLate ? 1 : 0;
      },
      onEnd: () => {
        load.recordEnd(entry.id, "online");
        const { nowMs } = clock;
        const slowness = this.#view.speeds.getSlowness(entry, nowMs);
        load.recordServiceTime("s", (nowMs - sentMs) / slowness);
        this.#fleet.recordPace(this.#view, entry, (nowMs - begunMs) / runMs);
        load.recordSuccess(entry.id);
      },
    });
    const isLast = request.runs + 1 >= MAX_RUNS;
    const patienceMs = isLast ? leftMs : waitMs * 2 + FIRST_EVENT_MS;
    clock.startTimer(Math.min(leftMs, patienceMs), () => {
      if (!hasBegun) {
        cancel();
        load.recordEnd(entry.id, "online");
        load.recordFailure(entry.id, clock.nowMs);
        const tried = new Set([...request.tried, entry.id]);
        this.#place({ ...request, tried, runs: request.runs + 1 });
      }
    });
  }
}
