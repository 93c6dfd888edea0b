import type { LoadMessage, OpenWork } from "@gooseberryline/core";
import { FLEET } from "./constants.ts";

export type Lane = "online" | "batch";

type PeerState = {
  readonly message: LoadMessage;
  readonly receivedMs: number;
  /** When it last came from the peer itself, not by way of another. */
  readonly lastDirectMs: number;
};
type SuspectState = { readonly untilMs: number; readonly failures: number };

const NO_WORK: OpenWork = { online: 0, batch: 0 };

/** Work under way at each upstream: own, and peers' as last heard. */
export class LoadTracker {
  readonly #own = new Map<string, OpenWork>();
  readonly #peers = new Map<string, PeerState>();
  readonly #suspects = new Map<string, SuspectState>();
  readonly #lastActivityMs = new Map<string, number>();
  readonly #meanServiceTimesMs = new Map<string, number>();
  /** Items of this instance that wait for an upstream. */
  waitingItems = 0;

  noteStart(upstreamId: string, lane: Lane): void {
    this.#changeInFlight(upstreamId, lane, 1);
  }

  recordEnd(upstreamId: string, lane: Lane): void {
    this.#changeInFlight(upstreamId, lane, -1);
  }

  /** Avoids an upstream for a while, longer with each failure in a row. */
  recordFailure(upstreamId: string, nowMs: number): void {
    const failures = (this.#suspects.get(upstreamId)?.failures ?? 0) + 1;
    const spanMs = Math.min(
      FLEET.MAX_SUSPECT_MS,
      FLEET.MIN_SUSPECT_MS * 2 ** (failures - 1),
    );
    this.#suspects.set(upstreamId, { untilMs: nowMs + spanMs, failures });
  }

  recordSuccess(upstreamId: string): void {
    this.#suspects.delete(upstreamId);
  }

  /** Notes that an upstream has sent something. */
  noteSign(upstreamId: string, nowMs: number): void {
    this.#lastActivityMs.set(upstreamId, nowMs);
  }

  /** Whether an upstream has sent anything to any instance since then. */
  hasActivitySince(upstreamId: string, sinceMs: number): boolean {
    const own =
      this.#lastActivityMs.get(upstreamId) ?? Number.NEGATIVE_INFINITY;
    return (
      own > sinceMs ||
      [...this.#peers.values()].some(({ message, receivedMs: heardMs }) => {
        const quietMs = message.quietMs[upstreamId];
        return quietMs !== undefined && heardMs - quietMs > sinceMs;
      })
    );
  }

  /** Own signs of upstreams that are recent enough to matter to peers. */
  listActivityAges(nowMs: number): Readonly<Record<string, number>> {
    [...this.#lastActivityMs]
      .filter(([, atMs]) => nowMs - atMs > FLEET.MAX_LOAD_AGE_MS)
      .forEach(([id]) => {
        this.#lastActivityMs.delete(id);
      });
    return Object.fromEntries(
      [...this.#lastActivityMs]
        .map(([id, atMs]) => [id, Math.round(nowMs - atMs)] as const)
        .filter(([, quietMs]) => quietMs < FLEET.MAX_ACTIVITY_AGE_MS),
    );
  }

  /** Notes how long a request held a slot, in ms. */
  recordServiceTime(service: string, heldMs: number): void {
    const mean =
      this.#meanServiceTimesMs.get(service) ?? FLEET.INITIAL_SERVICE_TIME_MS;
    this.#meanServiceTimesMs.set(
      service,
      mean + (heldMs - mean) * FLEET.SERVICE_TIME_WEIGHT,
    );
  }

  getMeanServiceTimeMs(service: string): number {
    return (
      this.#meanServiceTimesMs.get(service) ?? FLEET.INITIAL_SERVICE_TIME_MS
    );
  }

  /** Takes a peer's message unless a later one of it is known. */
  recordPeerMessage(
    message: LoadMessage,
    heardMs: number,
    isDirect: boolean,
  ): boolean {
    const held = this.#peers.get(message.from);
    const known = held?.message;
    const directMs = isDirect
      ? heardMs
      : (held?.lastDirectMs ?? Number.NEGATIVE_INFINITY);
    const isStale =
      known?.incarnation === message.incarnation &&
      known.sequence >= message.sequence;
    if (isStale) {
      if (held !== undefined) {
        this.#peers.set(message.from, { ...held, lastDirectMs: directMs });
      }
      return false;
    }
    if (message.isLeaving) {
      this.#peers.delete(message.from);
    } else {
      this.#peers.set(message.from, {
        message,
        receivedMs: heardMs,
        lastDirectMs: directMs,
      });
    }
    return true;
  }

  hasRecentMessage(peerId: string, withinMs: number, nowMs: number): boolean {
    const heard = this.#peers.get(peerId);
    return heard !== undefined && nowMs - heard.receivedMs <= withinMs;
  }

  /** Whether a peer's own messages reach this instance. */
  hasDirectContact(peerId: string, withinMs: number, nowMs: number): boolean {
    const heard = this.#peers.get(peerId);
    return heard !== undefined && nowMs - heard.lastDirectMs <= withinMs;
  }

  /** Whether a peer in touch says that the store answers it. */
  canReachStore(peerId: string, withinMs: number, nowMs: number): boolean {
    return (
      this.hasDirectContact(peerId, withinMs, nowMs) &&
      this.#peers.get(peerId)?.message.hasStore === true
    );
  }

  /** Of each peer whose messages come here, the instances it misses. */
  listUnreachedByPeer(
    withinMs: number,
    nowMs: number,
  ): ReadonlyMap<string, readonly string[]> {
    return new Map(
      [...this.#peers]
        .filter(
          ([, { lastDirectMs: directMs }]) => nowMs - directMs <= withinMs,
        )
        .map(([id, { message }]) => [id, message.unheard] as const),
    );
  }

  /** Work at an upstream over all instances. */
  countOpen(upstreamId: string, nowMs: number): OpenWork {
    return this.#listCurrentMessages(nowMs)
      .map(({ open }) => open[upstreamId] ?? NO_WORK)
      .reduce(addWork, this.countOwnInFlight(upstreamId));
  }

  countOwnInFlight(upstreamId: string): OpenWork {
    return this.#own.get(upstreamId) ?? NO_WORK;
  }

  /** Until when an upstream is avoided, by own failures or peers'. */
  getSuspectUntilMs(upstreamId: string, nowMs: number): number {
    const own = this.#suspects.get(upstreamId)?.untilMs ?? 0;
    return [...this.#peers.values()]
      .filter(({ message }) => message.suspects.includes(upstreamId))
      .map(({ receivedMs: heardMs }) => heardMs + FLEET.PEER_SUSPECT_MS)
      .filter((untilMs) => untilMs > nowMs)
      .reduce((latest, untilMs) => Math.max(latest, untilMs), own);
  }

  /** Ids of peers that have items waiting, as last heard. */
  listBusyWorkers(nowMs: number): readonly string[] {
    return this.#listCurrentMessages(nowMs)
      .filter(({ waitingItems }) => waitingItems > 0)
      .map(({ from }) => from);
  }

  /** Batch items of each peer at an upstream, as last heard. */
  listPeerItems(upstreamId: string, nowMs: number) {
    return this.#listCurrentMessages(nowMs).map(({ from, open }) => ({
      workerId: from,
      items: open[upstreamId]?.batch ?? 0,
    }));
  }

  listOwnInFlight(): Readonly<Record<string, OpenWork>> {
    return Object.fromEntries(this.#own);
  }

  listSuspects(nowMs: number): readonly string[] {
    return [...this.#suspects]
      .filter(([, { untilMs }]) => untilMs > nowMs)
      .map(([id]) => id);
  }

  /** Peers' messages that still say something of the present. */
  #listCurrentMessages(nowMs: number): readonly LoadMessage[] {
    return [...this.#peers.values()]
      .filter(
        ({ receivedMs: heardMs }) => nowMs - heardMs <= FLEET.MAX_LOAD_AGE_MS,
      )
      .map(({ message }) => message);
  }

  #changeInFlight(upstreamId: string, lane: Lane, by: number): void {
    const next = addWork(this.countOwnInFlight(upstreamId), {
      ...NO_WORK,
      [lane]: by,
    });
    if (next.online <= 0 && next.batch <= 0) {
      this.#own.delete(upstreamId);
    } else {
      this.#own.set(upstreamId, next);
    }
  }
}

function addWork(a: OpenWork, b: OpenWork): OpenWork {
  return { online: a.online + b.online, batch: a.batch + b.batch };
}
