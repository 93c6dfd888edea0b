import type { LoadMessage, OpenWork } from "@gooseberryline/core";
import { FLEET } from "./constants.ts";

export type Lane = "online" | "batch";

type Heard = {
  readonly message: LoadMessage;
  readonly heardMs: number;
  /** When it last came from the peer itself, not by way of another. */
  readonly directMs: number;
};
type Suspicion = { readonly untilMs: number; readonly failures: number };

const IDLE: OpenWork = { online: 0, batch: 0 };

/** Work under way at each upstream: own, and peers' as last heard. */
export class LoadTracker {
  readonly #own = new Map<string, OpenWork>();
  readonly #peers = new Map<string, Heard>();
  readonly #suspects = new Map<string, Suspicion>();
  readonly #signs = new Map<string, number>();
  readonly #meansMs = new Map<string, number>();
  /** Items of this instance that wait for an upstream. */
  waitingItems = 0;

  noteStart(upstreamId: string, lane: Lane): void {
    this.#change(upstreamId, lane, 1);
  }

  noteEnd(upstreamId: string, lane: Lane): void {
    this.#change(upstreamId, lane, -1);
  }

  /** Avoids an upstream for a while, longer with each failure in a row. */
  noteFailure(upstreamId: string, nowMs: number): void {
    const failures = (this.#suspects.get(upstreamId)?.failures ?? 0) + 1;
    const spanMs = Math.min(
      FLEET.MAX_SUSPECT_MS,
      FLEET.SUSPECT_MS * 2 ** (failures - 1),
    );
    this.#suspects.set(upstreamId, { untilMs: nowMs + spanMs, failures });
  }

  noteSuccess(upstreamId: string): void {
    this.#suspects.delete(upstreamId);
  }

  /** Notes that an upstream has sent something. */
  noteSign(upstreamId: string, nowMs: number): void {
    this.#signs.set(upstreamId, nowMs);
  }

  /** Whether an upstream has sent anything to any instance since then. */
  hasSign(upstreamId: string, sinceMs: number): boolean {
    const own = this.#signs.get(upstreamId) ?? Number.NEGATIVE_INFINITY;
    return (
      own > sinceMs ||
      [...this.#peers.values()].some(({ message, heardMs }) => {
        const quietMs = message.quietMs[upstreamId];
        return quietMs !== undefined && heardMs - quietMs > sinceMs;
      })
    );
  }

  /** Own signs of upstreams that are recent enough to matter to peers. */
  listQuiet(nowMs: number): Readonly<Record<string, number>> {
    [...this.#signs]
      .filter(([, atMs]) => nowMs - atMs > FLEET.LOAD_AGE_MS)
      .forEach(([id]) => {
        this.#signs.delete(id);
      });
    return Object.fromEntries(
      [...this.#signs]
        .map(([id, atMs]) => [id, Math.round(nowMs - atMs)] as const)
        .filter(([, quietMs]) => quietMs < FLEET.SIGN_AGE_MS),
    );
  }

  /** Notes how long a request held a slot, in ms. */
  noteServiceTime(service: string, heldMs: number): void {
    const mean = this.#meansMs.get(service) ?? FLEET.FIRST_MEAN_MS;
    this.#meansMs.set(service, mean + (heldMs - mean) * FLEET.MEAN_WEIGHT);
  }

  getMeanMs(service: string): number {
    return this.#meansMs.get(service) ?? FLEET.FIRST_MEAN_MS;
  }

  /** Takes a peer's message unless a later one of it is known. */
  notePeer(message: LoadMessage, heardMs: number, isDirect: boolean): boolean {
    const held = this.#peers.get(message.from);
    const known = held?.message;
    const directMs = isDirect
      ? heardMs
      : (held?.directMs ?? Number.NEGATIVE_INFINITY);
    const isStale =
      known?.incarnation === message.incarnation &&
      known.sequence >= message.sequence;
    if (isStale) {
      if (held !== undefined) {
        this.#peers.set(message.from, { ...held, directMs });
      }
      return false;
    }
    if (message.isLeaving) {
      this.#peers.delete(message.from);
    } else {
      this.#peers.set(message.from, { message, heardMs, directMs });
    }
    return true;
  }

  isHeard(peerId: string, withinMs: number, nowMs: number): boolean {
    const heard = this.#peers.get(peerId);
    return heard !== undefined && nowMs - heard.heardMs <= withinMs;
  }

  /** Whether a peer's own messages reach this instance. */
  isDirect(peerId: string, withinMs: number, nowMs: number): boolean {
    const heard = this.#peers.get(peerId);
    return heard !== undefined && nowMs - heard.directMs <= withinMs;
  }

  /** Whether a peer in touch says that the store answers it. */
  canReachStore(peerId: string, withinMs: number, nowMs: number): boolean {
    return (
      this.isDirect(peerId, withinMs, nowMs) &&
      this.#peers.get(peerId)?.message.hasStore === true
    );
  }

  /** Of each peer whose messages come here, the instances it misses. */
  listUnheardBy(
    withinMs: number,
    nowMs: number,
  ): ReadonlyMap<string, readonly string[]> {
    return new Map(
      [...this.#peers]
        .filter(([, { directMs }]) => nowMs - directMs <= withinMs)
        .map(([id, { message }]) => [id, message.unheard] as const),
    );
  }

  /** Work at an upstream over all instances. */
  countOpen(upstreamId: string, nowMs: number): OpenWork {
    return this.#listFresh(nowMs)
      .map(({ open }) => open[upstreamId] ?? IDLE)
      .reduce(addWork, this.countOwn(upstreamId));
  }

  countOwn(upstreamId: string): OpenWork {
    return this.#own.get(upstreamId) ?? IDLE;
  }

  /** Until when an upstream is avoided, by own failures or peers'. */
  getSuspectUntilMs(upstreamId: string, nowMs: number): number {
    const own = this.#suspects.get(upstreamId)?.untilMs ?? 0;
    return [...this.#peers.values()]
      .filter(({ message }) => message.suspects.includes(upstreamId))
      .map(({ heardMs }) => heardMs + FLEET.PEER_SUSPECT_MS)
      .filter((untilMs) => untilMs > nowMs)
      .reduce((latest, untilMs) => Math.max(latest, untilMs), own);
  }

  /** Ids of peers that have items waiting, as last heard. */
  listBusyWorkers(nowMs: number): readonly string[] {
    return this.#listFresh(nowMs)
      .filter(({ waitingItems }) => waitingItems > 0)
      .map(({ from }) => from);
  }

  /** Batch items of each peer at an upstream, as last heard. */
  listPeerItems(upstreamId: string, nowMs: number) {
    return this.#listFresh(nowMs).map(({ from, open }) => ({
      workerId: from,
      items: open[upstreamId]?.batch ?? 0,
    }));
  }

  listOwn(): Readonly<Record<string, OpenWork>> {
    return Object.fromEntries(this.#own);
  }

  listSuspects(nowMs: number): readonly string[] {
    return [...this.#suspects]
      .filter(([, { untilMs }]) => untilMs > nowMs)
      .map(([id]) => id);
  }

  /** Peers' messages that still say something of the present. */
  #listFresh(nowMs: number): readonly LoadMessage[] {
    return [...this.#peers.values()]
      .filter(({ heardMs }) => nowMs - heardMs <= FLEET.LOAD_AGE_MS)
      .map(({ message }) => message);
  }

  #change(upstreamId: string, lane: Lane, by: number): void {
    const next = addWork(this.countOwn(upstreamId), { ...IDLE, [lane]: by });
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
