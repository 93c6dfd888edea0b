import type {
  InFlightWork,
  LoadMessage,
  WorkMessage,
} from "@gooseberryline/core";
import { addWork } from "./add_work.ts";
import { FLEET } from "./constants.ts";
import { PeerReports } from "./peer_reports.ts";
import type { PeerState } from "./peer_state.ts";
import { UnheardIndex } from "./unheard_index.ts";

export type Lane = "online" | "batch";

type SuspectState = { readonly untilMs: number; readonly failures: number };

const NO_WORK: InFlightWork = { online: 0, batch: 0 };

/**
 * Tracks the work in flight at each upstream: this instance's own, and that
 * reported by peers.
 */
export class LoadTracker {
  readonly #own = new Map<string, InFlightWork>();
  readonly #peers = new Map<string, PeerState>();
  readonly reports = new PeerReports();
  readonly #suspects = new Map<string, SuspectState>();
  readonly #lastActivityMs = new Map<string, number>();
  readonly #meanServiceTimesMs = new Map<string, number>();
  readonly unheard = new UnheardIndex();
  readonly #getAgeLimitMs: () => number;
  /** Number of this instance's batch items that wait for an upstream. */
  waitingItems = 0;
  /** Services for which items wait here. */
  waitingServices: readonly string[] = [];
  /** Called when an upstream becomes suspect that no instance reported as such. */
  onNewSuspect: () => void = () => undefined;

  /** `getAgeLimitMs` returns the age at which a report is out of date, in ms. */
  constructor(getAgeLimitMs: () => number) {
    this.#getAgeLimitMs = getAgeLimitMs;
  }

  recordStart(upstreamId: string, lane: Lane): void {
    this.#changeInFlight(upstreamId, lane, 1);
  }

  recordEnd(upstreamId: string, lane: Lane): void {
    this.#changeInFlight(upstreamId, lane, -1);
  }

  /**
   * Marks an upstream as suspect, for a time that doubles with each consecutive
   * failure.
   */
  recordFailure(upstreamId: string, nowMs: number): void {
    if (this.getSuspectUntilMs(upstreamId, nowMs) <= nowMs) {
      this.onNewSuspect();
    }
    const failures = (this.#suspects.get(upstreamId)?.failures ?? 0) + 1;
    const backoffMs = Math.min(
      FLEET.MAX_SUSPECT_MS,
      FLEET.MIN_SUSPECT_MS * 2 ** (failures - 1),
    );
    this.#suspects.set(upstreamId, { untilMs: nowMs + backoffMs, failures });
  }

  recordSuccess(upstreamId: string): void {
    this.#suspects.delete(upstreamId);
  }

  /** Records that an upstream has sent data. */
  recordActivity(upstreamId: string, nowMs: number): void {
    this.#lastActivityMs.set(upstreamId, nowMs);
  }

  /**
   * Returns whether an upstream has sent data to any instance since `sinceMs`.
   */
  hasActivitySince(upstreamId: string, sinceMs: number): boolean {
    const ownMs =
      this.#lastActivityMs.get(upstreamId) ?? Number.NEGATIVE_INFINITY;
    const peersMs = this.reports.getLastActivityMs(upstreamId);
    return Math.max(ownMs, peersMs) > sinceMs;
  }

  /**
   * Lists the age of each upstream's last activity, in ms, where it is recent
   * enough to report to peers.
   */
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

  /** Updates a service's mean time for which a request holds a slot, in ms. */
  recordServiceTime(service: string, serviceMs: number): void {
    const meanMs =
      this.#meanServiceTimesMs.get(service) ?? FLEET.INITIAL_SERVICE_TIME_MS;
    this.#meanServiceTimesMs.set(
      service,
      meanMs + (serviceMs - meanMs) * FLEET.SERVICE_TIME_WEIGHT,
    );
  }

  getMeanServiceTimeMs(service: string): number {
    return (
      this.#meanServiceTimesMs.get(service) ?? FLEET.INITIAL_SERVICE_TIME_MS
    );
  }

  /**
   * Records a peer's message; returns false if it is not newer than the last
   * one.
   */
  recordPeerMessage(
    message: LoadMessage,
    receivedMs: number,
    isDirect: boolean,
  ): boolean {
    const peer = this.#peers.get(message.from);
    const lastMessage = peer?.message;
    const lastDirectMs = isDirect
      ? receivedMs
      : (peer?.lastDirectMs ?? Number.NEGATIVE_INFINITY);
    const isStale =
      lastMessage?.incarnation === message.incarnation &&
      lastMessage.sequence >= message.sequence;
    if (isStale) {
      if (peer !== undefined) {
        this.#peers.set(message.from, { ...peer, lastDirectMs });
      }
      return false;
    }
    this.unheard.update(message.from, lastMessage?.unheard, message.unheard);
    if (message.isLeaving) {
      this.#peers.delete(message.from);
      this.reports.drop(message.from);
    } else {
      this.reports.record(message, receivedMs);
      this.#peers.set(message.from, {
        message,
        receivedMs,
        lastDirectMs,
        unheard: new Set(message.unheard),
      });
    }
    return true;
  }

  /** Records a known peer's work in flight; returns false if it is no news. */
  recordPeerWork(
    { from, incarnation, sequence, open }: WorkMessage,
    receivedMs: number,
  ): boolean {
    const peer = this.#peers.get(from);
    const isKnown = peer?.message.incarnation === incarnation;
    if (!isKnown || peer.message.sequence >= sequence) {
      return false;
    }
    const message = { ...peer.message, sequence, open };
    this.#peers.set(from, { ...peer, message });
    this.reports.recordWork(from, open, receivedMs);
    return true;
  }

  getPeerMessage(peerId: string): LoadMessage | undefined {
    return this.#peers.get(peerId)?.message;
  }

  hasRecentMessage(peerId: string, withinMs: number, nowMs: number): boolean {
    const peer = this.#peers.get(peerId);
    return peer !== undefined && nowMs - peer.receivedMs <= withinMs;
  }

  /**
   * Returns whether messages arrive from a peer itself, not only through
   * relays.
   */
  hasDirectContact(peerId: string, withinMs: number, nowMs: number): boolean {
    const peer = this.#peers.get(peerId);
    return peer !== undefined && nowMs - peer.lastDirectMs <= withinMs;
  }

  /**
   * Returns whether a peer in direct contact reports that it reaches the store.
   */
  canReachStore(peerId: string, withinMs: number, nowMs: number): boolean {
    return (
      this.hasDirectContact(peerId, withinMs, nowMs) &&
      this.#peers.get(peerId)?.message.hasStore === true
    );
  }

  /** Returns the latest store revision that a peer has seen under a prefix. */
  getSeenRevision(peerId: string, prefix: string): number {
    return this.#peers.get(peerId)?.message.seen[prefix] ?? 0;
  }

  /**
   * Lists, for each peer in direct contact, the instances whose messages do not
   * reach it.
   */
  listUnreachedByPeer(
    withinMs: number,
    nowMs: number,
  ): ReadonlyMap<string, ReadonlySet<string>> {
    return new Map(
      [...this.#peers]
        .filter(([, { lastDirectMs }]) => nowMs - lastDirectMs <= withinMs)
        .map(([id, { unheard }]) => [id, unheard] as const),
    );
  }

  /** Counts the work in flight at an upstream over all instances. */
  countInFlight(upstreamId: string, nowMs: number): InFlightWork {
    const maxAgeMs = this.getMaxAgeMs();
    const reported = this.reports.countInFlight(upstreamId, {
      nowMs,
      maxAgeMs,
    });
    return addWork(this.countOwnInFlight(upstreamId), reported);
  }

  countOwnInFlight(upstreamId: string): InFlightWork {
    return this.#own.get(upstreamId) ?? NO_WORK;
  }

  /**
   * Returns the time until which an upstream is suspect, by this instance's or
   * peers' failures.
   */
  getSuspectUntilMs(upstreamId: string, nowMs: number): number {
    const own = this.#suspects.get(upstreamId)?.untilMs ?? 0;
    const peersUntilMs =
      this.reports.getLastSuspectMs(upstreamId) + FLEET.PEER_SUSPECT_MS;
    return peersUntilMs > nowMs ? Math.max(own, peersUntilMs) : own;
  }

  /** Lists the peers with waiting items of a service, or of one not named. */
  listPeersWithWaitingItems(service: string, nowMs: number): readonly string[] {
    return this.listCurrentMessages(nowMs)
      .filter(
        ({ waitingItems, waitingServices }) =>
          (waitingServices ?? [service]).includes(service) && waitingItems > 0,
      )
      .map(({ from }) => from);
  }

  /** Lists the peers that report batch items in flight at an upstream. */
  listPeerItems(upstreamId: string, nowMs: number) {
    const maxAgeMs = this.getMaxAgeMs();
    return this.reports.listItems(upstreamId, { nowMs, maxAgeMs });
  }

  listOwnInFlight(): Readonly<Record<string, InFlightWork>> {
    return Object.fromEntries(this.#own);
  }

  listSuspects(nowMs: number): readonly string[] {
    return [...this.#suspects]
      .filter(([, { untilMs }]) => untilMs > nowMs)
      .map(([id]) => id);
  }

  /** Lists the peers' messages that are recent enough to be used. */
  listCurrentMessages(nowMs: number): readonly LoadMessage[] {
    const maxAgeMs = this.getMaxAgeMs();
    return [...this.#peers.values()]
      .filter(({ receivedMs }) => nowMs - receivedMs <= maxAgeMs)
      .map(({ message }) => message);
  }

  /** Age up to which a peer's report is used, in ms. */
  getMaxAgeMs(): number {
    return Math.max(FLEET.MAX_LOAD_AGE_MS, this.#getAgeLimitMs());
  }

  #changeInFlight(upstreamId: string, lane: Lane, delta: number): void {
    const next = addWork(this.countOwnInFlight(upstreamId), {
      ...NO_WORK,
      [lane]: delta,
    });
    if (next.online <= 0 && next.batch <= 0) {
      this.#own.delete(upstreamId);
    } else {
      this.#own.set(upstreamId, next);
    }
  }
}
