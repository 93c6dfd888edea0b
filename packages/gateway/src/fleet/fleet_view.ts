import {
  buildRouteTable,
  type Candidate,
  DUTIES,
  type Duty,
  type FleetMember,
  type LoadMessage,
  listRelayTargets,
  listSilentDataCentres,
  type RouteTable,
  type ServingConfig,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { GatewaySettings } from "../settings/types.ts";
import { FLEET } from "./constants.ts";
import { countGossipMs } from "./count_gossip_ms.ts";
import { type Lane, LoadTracker } from "./load_tracker.ts";
import { MemberRegistry } from "./member_registry.ts";
import { QuotaTracker } from "./quota_tracker.ts";
import { RampTracker } from "./ramp_tracker.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";

/** Of what a window may hold beyond a limit, the part spent at a start. */
const INITIAL_TOKENS_SHARE = 0.5;

/** All that this instance knows of the fleet and its configuration. */
export class FleetView {
  readonly settings: GatewaySettings;
  readonly incarnation: string;
  readonly directory = new UpstreamDirectory();
  readonly members = new MemberRegistry();
  readonly load = new LoadTracker();
  readonly quotas: QuotaTracker;
  readonly #ramps: RampTracker;
  readonly #readNowMs: () => number;
  #table: RouteTable | undefined;
  readonly #startedMs: number;
  #sequence = 0;
  /** Called when online work takes a slot that batch work has to leave. */
  onUpstreamOverloaded: () => void = () => undefined;
  /** Whether the store answers this instance itself. */
  hasStore = false;
  /** Called when a peer's load has changed. */
  onPeerLoad: () => void = () => undefined;
  /** What this instance's watches have seen, by prefix. */
  readWatchRevisions: () => LoadMessage["seen"] = () => ({});
  /** Called with what a peer's watches have seen. */
  onPeerWatchRevisions: (seen: LoadMessage["seen"]) => void = () => undefined;
  /** How many results this instance has listed, by job. */
  readListed: () => LoadMessage["listed"] = () => ({});
  /** Called with how many results a peer has listed, by job. */
  onPeerResultCounts: (listed: LoadMessage["listed"]) => void = () => undefined;

  constructor(
    settings: GatewaySettings,
    incarnation: string,
    readNowMs: () => number,
  ) {
    this.settings = settings;
    this.incarnation = incarnation;
    this.#readNowMs = readNowMs;
    const { instanceId, ramp } = settings;
    const { members, load } = this;
    const startedMs = readNowMs();
    this.#startedMs = startedMs;
    this.quotas = new QuotaTracker({
      instanceId,
      members,
      load,
      startedMs,
      initialTokens: settings.quotaSlack * INITIAL_TOKENS_SHARE,
    });
    this.#ramps = new RampTracker({ instanceId, members, bounds: ramp });
  }

  /** Milliseconds of the steady clock. */
  readNowMs(): number {
    return this.#readNowMs();
  }

  /** The configuration in force; undefined until one is known. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Adopts a configuration unless one as new is in force. */
  adoptConfig(config: ServingConfig): boolean {
    if (config.revision <= (this.#table?.config.revision ?? -1)) {
      return false;
    }
    this.#table = buildRouteTable(config);
    return true;
  }

  /** Upstreams of a service with their load, for a choice between them. */
  listCandidates(service: string): readonly Candidate[] {
    const nowMs = this.readNowMs();
    const perSecond = this.#getColdRate(service);
    const silent = this.#listUnreachableDataCentres(nowMs);
    return this.directory.list(service, nowMs).map((entry) => ({
      entry,
      open: this.load.countOpen(entry.id, nowMs),
      suspectUntilMs: silent.has(entry.dataCentre)
        ? Number.POSITIVE_INFINITY
        : this.load.getSuspectUntilMs(entry.id, nowMs),
      isRampOpen: this.#ramps.canSend(entry, perSecond, nowMs),
    }));
  }

  /** Notes that a request goes to an upstream now. */
  recordSend(entry: UpstreamEntry, lane: Lane): void {
    this.#ramps.take(entry, this.#getColdRate(entry.service), this.readNowMs());
    this.load.noteStart(entry.id, lane);
    if (lane === "online") {
      this.#reportIfOverloaded(entry);
    }
  }

  #reportIfOverloaded({ id, slots }: UpstreamEntry): void {
    const { online, batch } = this.load.countOpen(id, this.readNowMs());
    if (batch > 0 && online + batch > slots) {
      this.onUpstreamOverloaded();
    }
  }

  /** Takes a peer's message; false for one that was known. */
  noteMessage(message: LoadMessage, isDirect: boolean): boolean {
    const nowMs = this.readNowMs();
    if (!this.load.recordPeerMessage(message, nowMs, isDirect)) {
      return false;
    }
    if (message.isLeaving) {
      this.members.dropIncarnation(message.from, message.incarnation);
    } else {
      this.quotas.recordPeerMessage(message, nowMs);
      this.onPeerWatchRevisions(message.seen);
      this.onPeerResultCounts(message.listed);
    }
    this.onPeerLoad();
    return true;
  }

  /** A peer that hears this instance and reaches the store itself. */
  chooseStoreRelay(): FleetMember | undefined {
    const nowMs = this.readNowMs();
    const withinMs = this.#computePeerTimeoutMs();
    const peers = this.listPeers().filter(({ id }) =>
      this.load.canReachStore(id, withinMs, nowMs),
    );
    return peers[Math.floor(Math.random() * peers.length)];
  }

  /** Peers that are to get another one's message from here. */
  listRelayTargets(origin: string): readonly FleetMember[] {
    const { instanceId } = this.settings;
    const nowMs = this.readNowMs();
    const unheardBy = this.load.listUnreachedByPeer(
      this.#computePeerTimeoutMs(),
      nowMs,
    );
    const ids = listRelayTargets(origin, instanceId, unheardBy);
    return this.listPeers().filter(({ id }) => ids.includes(id));
  }

  buildMessage(isLeaving: boolean): LoadMessage {
    const nowMs = this.readNowMs();
    const silentMs = this.#computePeerTimeoutMs();
    const unheard = this.listPeers()
      .map(({ id }) => id)
      .filter((id) => !this.load.hasDirectContact(id, silentMs, nowMs));
    this.#sequence += 1;
    const isServing = this.settings.duty === DUTIES.serve;
    const customers = this.#table?.config.customers ?? [];
    return {
      from: this.settings.instanceId,
      dataCentre: this.settings.dataCentre,
      duty: this.settings.duty,
      incarnation: this.incarnation,
      ageMs: Math.round(nowMs - this.#startedMs),
      hasStore: this.hasStore,
      sequence: this.#sequence,
      open: this.load.listOwnInFlight(),
      waitingItems: this.load.waitingItems,
      quietMs: this.load.listActivityAges(nowMs),
      suspects: this.load.listSuspects(nowMs),
      use: isServing ? this.quotas.listUsage(customers, nowMs) : {},
      unheard,
      seen: this.readWatchRevisions(),
      listed: this.readListed(),
      isLeaving,
    };
  }

  #listUnreachableDataCentres(nowMs: number): ReadonlySet<string> {
    const withinMs = this.#computePeerTimeoutMs();
    return listSilentDataCentres(this.listPeers(), (id) =>
      this.load.hasDirectContact(id, withinMs, nowMs),
    );
  }

  /** This instance's place among those of a duty, or among all. */
  getRank(duty?: Duty): { readonly rank: number; readonly count: number } {
    const ids = this.members.list(duty).map(({ id }) => id);
    const rank = ids.filter((id) => id < this.settings.instanceId).length;
    return { rank, count: Math.max(1, ids.length) };
  }

  /** Peers that may be at work, also those whose lease has just ended. */
  listPeers(): readonly FleetMember[] {
    const { instanceId } = this.settings;
    return this.members
      .listPossiblyRunning(this.readNowMs())
      .filter(({ id }) => id !== instanceId);
  }

  /** After this long without a message an instance is out of touch. */
  #computePeerTimeoutMs(): number {
    const gossipMs = countGossipMs(this.members.list().length);
    return Math.max(
      FLEET.MIN_PEER_TIMEOUT_MS,
      gossipMs * FLEET.PEER_TIMEOUT_INTERVALS,
    );
  }

  #getColdRate(service: string): number {
    return this.#table?.services.get(service)?.coldPerSecond ?? 1;
  }
}
