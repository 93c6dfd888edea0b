import type { InFlightWork, LoadMessage } from "@gooseberryline/core";
import { addWork } from "./add_work.ts";
import { PeerIndex } from "./peer_index.ts";

type ReportedWork = {
  readonly work: InFlightWork;
  readonly receivedMs: number;
};

/** Which reports are used: those received up to `maxAgeMs` before `nowMs`. */
type ReportAge = { readonly nowMs: number; readonly maxAgeMs: number };

const NO_WORK: InFlightWork = { online: 0, batch: 0 };

/**
 * Holds the peers' last reports by upstream, so that a placement doesn't search
 * the messages of the whole fleet.
 */
export class PeerReports {
  readonly #work = new PeerIndex<ReportedWork>();
  /** When a peer that names an upstream as suspect said so. */
  readonly #suspects = new PeerIndex<number>();
  /** When an upstream last sent data to a peer, on this instance's clock. */
  readonly #activity = new PeerIndex<number>();

  /** Records a peer's message in place of its last one. */
  record(message: LoadMessage, receivedMs: number): void {
    const { from, open, suspects, quietMs } = message;
    this.recordWork(from, open, receivedMs);
    this.#suspects.replace(
      from,
      suspects.map((id) => [id, receivedMs]),
    );
    this.#activity.replace(
      from,
      Object.entries(quietMs).map(([id, ageMs]) => [id, receivedMs - ageMs]),
    );
  }

  /** Records a peer's work in flight in place of what it said before. */
  recordWork(
    from: string,
    open: LoadMessage["open"],
    receivedMs: number,
  ): void {
    this.#work.replace(
      from,
      Object.entries(open).map(([id, work]) => [id, { work, receivedMs }]),
    );
  }

  drop(peerId: string): void {
    this.#work.drop(peerId);
    this.#suspects.drop(peerId);
    this.#activity.drop(peerId);
  }

  /** Counts the work that peers report at an upstream. */
  countInFlight(upstreamId: string, age: ReportAge): InFlightWork {
    return this.#listWork(upstreamId, age)
      .map(([, { work }]) => work)
      .reduce(addWork, NO_WORK);
  }

  /** Returns when the oldest report that names an upstream came; undefined if none. */
  findOldestMs(upstreamId: string, age: ReportAge): number | undefined {
    const times = this.#listWork(upstreamId, age).map(
      ([, { receivedMs }]) => receivedMs,
    );
    return times.length === 0 ? undefined : Math.min(...times);
  }

  /** Lists the peers that report batch items at an upstream. */
  listItems(upstreamId: string, age: ReportAge) {
    return this.#listWork(upstreamId, age)
      .map(([workerId, { work }]) => ({ workerId, items: work.batch }))
      .filter(({ items }) => items > 0);
  }

  /** Returns when a peer last named an upstream as suspect, in ms. */
  getLastSuspectMs(upstreamId: string): number {
    return findLatest(this.#suspects.list(upstreamId));
  }

  /** Returns when an upstream last sent data to a peer, in ms. */
  getLastActivityMs(upstreamId: string): number {
    return findLatest(this.#activity.list(upstreamId));
  }

  #listWork(upstreamId: string, { nowMs, maxAgeMs }: ReportAge) {
    return this.#work
      .list(upstreamId)
      .filter(([, { receivedMs }]) => nowMs - receivedMs <= maxAgeMs);
  }
}

function findLatest(times: readonly (readonly [string, number])[]): number {
  return times.reduce(
    (latest, [, atMs]) => Math.max(latest, atMs),
    Number.NEGATIVE_INFINITY,
  );
}
