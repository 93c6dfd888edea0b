import {
  buildRouteTable,
  type Candidate,
  createQuota,
  DUTIES,
  type Duty,
  type FleetMember,
  type LoadMessage,
  QUOTAS,
  type RouteTable,
  type ServingConfig,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { CrashTracker } from "../crashes/crash_tracker.ts";
import { ReachTracker } from "../passing/reach_tracker.ts";
import { createRolloutTracker } from "../rollouts/create_rollout_tracker.ts";
import type { GatewaySettings } from "../settings/types.ts";
import { CandidateLister } from "./candidate_lister.ts";
import { computeLoadTimes } from "./compute_load_times.ts";
import { FLEET } from "./constants.ts";
import { DemandTracker } from "./demand_tracker.ts";
import { describeSender } from "./describe_sender.ts";
import { LeavingPlanner } from "./leaving_planner.ts";
import { listUnheard } from "./list_unheard.ts";
import { type Lane, LoadTracker } from "./load_tracker.ts";
import { MemberRegistry } from "./member_registry.ts";
import { MessageRouter } from "./message_router.ts";
import { QuotaTracker } from "./quota_tracker.ts";
import { RampTracker } from "./ramp_tracker.ts";
import { recordPeerNews } from "./record_peer_news.ts";
import { SpeedTracker } from "./speed_tracker.ts";
import { StoreRelayChooser } from "./store_relay_chooser.ts";
import { UpstreamDirectory } from "./upstream_directory.ts";
import { UpstreamLimitTracker } from "./upstream_limit_tracker.ts";
import { WorkNews } from "./work_news.ts";

/** Holds what this instance knows of the fleet and of its configuration. */
export class FleetView {
  readonly settings: GatewaySettings;
  readonly incarnation: string;
  readonly directory = new UpstreamDirectory();
  readonly members = new MemberRegistry();
  readonly load = new LoadTracker(() => this.#times.ageLimitMs);
  readonly reach = new ReachTracker(() => this.readNowMs(), this.directory);
  readonly crashes: CrashTracker;
  readonly quotas: QuotaTracker;
  readonly limits: UpstreamLimitTracker;
  /** What requests instances hold; told where requests wait at instances. */
  readonly demand = new DemandTracker();
  readonly speeds = new SpeedTracker();
  readonly leaving: LeavingPlanner;
  readonly storeRelays: StoreRelayChooser;
  readonly work: WorkNews;
  readonly rollouts: ReturnType<typeof createRolloutTracker>;
  readonly #ramps: RampTracker;
  readonly #candidates: CandidateLister;
  readonly #router: MessageRouter;
  readonly #readNowMs: () => number;
  #table: RouteTable | undefined;
  readonly #startedMs: number;
  #sequence = 0;
  /** Number of load messages sent. */
  #round = 0;
  /**
   * Called when an online request is sent to an upstream whose work in flight
   * exceeds its slots, so that batch items must yield.
   */
  onUpstreamOverloaded: () => void = () => undefined;
  /** Whether this instance reaches the store directly. */
  hasStore = false;
  /** Called when a new load message of a peer was recorded. */
  onPeerLoad: () => void = () => undefined;
  /** Returns the latest store revision that the watches have seen, by prefix. */
  readWatchRevisions: () => LoadMessage["seen"] = () => ({});
  /** Called with the latest store revisions seen by a peer's watches. */
  onPeerWatchRevisions: (seen: LoadMessage["seen"]) => void = () => undefined;
  /** Called when work waits for a newer configuration than is known here. */
  onConfigBehind: () => void = () => undefined;
  /** Returns the number of results that this instance has listed, by job. */
  readResultCounts: () => LoadMessage["listed"] = () => ({});
  /** Called with the number of results that a peer has listed, by job. */
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
    this.#startedMs = readNowMs();
    const initialTokens = settings.quotaSlack * FLEET.INITIAL_TOKENS_SHARE;
    this.quotas = new QuotaTracker({
      instanceId,
      load,
      listSpenders: (_, nowMs) => members.listSpenders(DUTIES.serve, nowMs),
      getTimeoutMs: () =>
        Math.max(QUOTAS.PEER_TIMEOUT_MS, this.#times.ageLimitMs),
      getLagMs: () => this.#times.intervalMs,
      createQuota: () => createQuota(this.#startedMs, initialTokens),
    });
    this.crashes = new CrashTracker({
      instanceId,
      readNowMs,
      readUnixMs: () => Date.now(),
      hasActivitySince: (id, sinceMs) => load.hasActivitySince(id, sinceMs),
      findUpstream: (id) => this.directory.find(id),
    });
    const contact = {
      members,
      load,
      listPeers: () => this.listPeers(),
      getPeerTimeoutMs: () => this.#times.peerTimeoutMs,
      readNowMs,
    };
    this.limits = new UpstreamLimitTracker({ instanceId, ...contact });
    this.rollouts = createRolloutTracker(settings.rollouts, contact);
    this.#router = new MessageRouter({ settings, ...contact });
    this.work = new WorkNews({
      settings,
      incarnation,
      members,
      load,
      demand: this.demand,
      listNearPeers: () => this.#router.listNearPeers(),
      takeSequence: () => this.#takeSequence(),
    });
    this.leaving = new LeavingPlanner({ settings, ...contact });
    this.storeRelays = new StoreRelayChooser(contact);
    this.#ramps = new RampTracker({ instanceId, members, bounds: ramp });
    this.#candidates = new CandidateLister({
      ...contact,
      dataCentre: settings.dataCentre,
      directory: this.directory,
      limits: this.limits,
      ramps: this.#ramps,
      speeds: this.speeds,
      getIntervalMs: () => this.#times.intervalMs,
      getWorkIntervalMs: () => this.work.intervalMs,
      getColdRate: (service) => this.#getColdRate(service),
    });
  }

  /** Returns the time of the monotonic clock, in ms. */
  readNowMs(): number {
    return this.#readNowMs();
  }

  /** The current configuration; undefined until one has been adopted. */
  get table(): RouteTable | undefined {
    return this.#table;
  }

  /** Adopts a configuration; returns false if its revision is not newer. */
  adoptConfig(config: ServingConfig): boolean {
    if (config.revision <= (this.#table?.config.revision ?? -1)) {
      return false;
    }
    this.#table = buildRouteTable(config);
    return true;
  }

  /** Lists a service's upstreams with their load, as candidates for work. */
  listCandidates(service: string, lane: Lane): readonly Candidate[] {
    return this.#candidates.list(service, lane);
  }

  /** Records that a request is being sent to an upstream. */
  recordSend(entry: UpstreamEntry, lane: Lane): void {
    const nowMs = this.readNowMs();
    this.#ramps.take(entry, this.#getColdRate(entry.service), nowMs);
    this.limits.take(entry.id, nowMs);
    this.load.recordStart(entry.id, lane);
    this.rollouts.recordSend(entry);
    if (lane === "online") {
      this.#reportIfOverloaded(entry);
    }
  }

  #reportIfOverloaded({ id, slots }: UpstreamEntry): void {
    const { online, batch } = this.load.countInFlight(id, this.readNowMs());
    if (batch > 0 && online + batch > slots) {
      this.onUpstreamOverloaded();
    }
  }

  /**
   * Handles a peer's load message; returns false if it is not newer than the last.
   * `isDirect`: it came from the peer itself, or from afar by way of this data centre.
   */
  handleMessage(
    message: LoadMessage,
    isDirect: boolean,
    nowMs = this.readNowMs(),
  ): boolean {
    if (!this.load.recordPeerMessage(message, nowMs, isDirect)) {
      return false;
    }
    if (message.isLeaving) {
      this.members.dropIncarnation(message.from, message.incarnation);
      this.speeds.dropPeer(message.from);
    } else {
      recordPeerNews(this, message, nowMs);
      this.onPeerWatchRevisions(message.seen);
      this.onPeerResultCounts(message.listed);
    }
    this.onPeerLoad();
    return true;
  }

  /** Lists the peers that the next load message is sent to. */
  listMessageTargets(): readonly FleetMember[] {
    this.#round += 1;
    return this.#router.listTargets(this.#round);
  }

  /**
   * Handles a load message that arrived from the address `sender`; returns the
   * peers to which this instance passes it on.
   */
  receiveMessage(
    message: LoadMessage,
    sender: string,
    receivedMs = this.readNowMs(),
  ): readonly FleetMember[] {
    const path = this.#router.locateSender(message, sender);
    const isNews = this.handleMessage(message, path.isDirect, receivedMs);
    return !isNews || message.isLeaving
      ? []
      : this.#router.listRecipients(message, path);
  }

  buildMessage(isLeaving: boolean): LoadMessage {
    const nowMs = this.readNowMs();
    const isServing = this.settings.duty === DUTIES.serve;
    const customers = this.#table?.customers ?? new Map();
    return {
      ...describeSender(this.settings),
      incarnation: this.incarnation,
      ageMs: Math.round(nowMs - this.#startedMs),
      hasStore: this.hasStore,
      sequence: this.#takeSequence(),
      open: this.load.listOwnInFlight(),
      waitingItems: this.load.waitingItems,
      waitingServices: this.load.waitingServices,
      quietMs: this.load.listActivityAges(nowMs),
      suspects: this.load.listSuspects(nowMs),
      ...this.reach.buildNews(),
      ...this.demand.buildNews(),
      use: isServing
        ? this.quotas.listUsage((name) => customers.get(name), nowMs)
        : {},
      limits: this.limits.buildNews(),
      unheard: listUnheard(this.listPeers(), {
        load: this.load,
        startedMs: this.#startedMs,
        timeoutMs: this.#times.peerTimeoutMs,
        nowMs,
      }),
      seen: this.readWatchRevisions(),
      listed: this.readResultCounts(),
      leaving: this.directory.listLeaving(),
      crashes: this.crashes.buildNews(),
      rollouts: this.rollouts.buildNews(),
      speeds: this.speeds.buildNews(nowMs),
      isLeaving,
    };
  }

  /** Returns this instance's rank among all members, or those with a duty. */
  getRank(duty?: Duty) {
    return this.members.getRank(this.settings.instanceId, duty);
  }

  /**
   * Lists the peers that may be running, including those whose lease has just
   * expired.
   */
  listPeers(): readonly FleetMember[] {
    const running = this.members.listPossiblyRunning(this.readNowMs());
    return running.filter(({ id }) => id !== this.settings.instanceId);
  }

  get #times() {
    return computeLoadTimes(this.members.count());
  }

  #takeSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }

  #getColdRate(service: string): number {
    return this.#table?.services.get(service)?.coldRequestsPerSecond ?? 1;
  }
}
