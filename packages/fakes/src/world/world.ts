import {
  type Config,
  type ConfigDocument,
  createInstance,
  type DataCentreId,
  type InstanceEvent,
  type InstanceId,
  type InstanceState,
  isDrained,
  type ListedInstance,
  stepInstance,
  type UpstreamId,
  type WorkOrder,
} from "@gooseberryline/core";
import { buildModel } from "./build_model.ts";
import { ConfigFeed } from "./config_feed.ts";
import { EffectRunner } from "./effect_runner.ts";
import { EventQueue } from "./event_queue.ts";
import { listInstanceLocations } from "./list_instance_locations.ts";
import { markUpstreamsWarm } from "./mark_upstreams_warm.ts";
import { PLATFORM_LOCATION } from "./platform_location.ts";
import type { WorldNode, WorldOptions } from "./types.ts";
import { VirtualDisks } from "./virtual_disks.ts";
import { VirtualEngine } from "./virtual_engine.ts";
import { VirtualStore } from "./virtual_store.ts";
import { WorldLedger } from "./world_ledger.ts";
import { WorldNetwork } from "./world_network.ts";

const TICK_INTERVAL_MS = 20;
const LIST_INTERVAL_MS = 5_000;

/**
 * Simulates instances of the core under virtual time, with fakes of the
 * network, the platform's store, the engines and the disks.
 */
export class World {
  readonly queue = new EventQueue();
  readonly ledger = new WorldLedger();
  readonly store = new VirtualStore();
  readonly disks = new VirtualDisks();
  readonly network: WorldNetwork;
  readonly engines = new Map<UpstreamId, VirtualEngine>();
  readonly #runner: EffectRunner;
  readonly #nodes = new Map<InstanceId, WorldNode>();
  readonly #options: WorldOptions;
  readonly #unlistedIds = new Set<string>();
  readonly #listed: Map<string, ListedInstance>;
  readonly #configFeed: ConfigFeed;
  #incarnations = 0;

  constructor(options: WorldOptions) {
    this.#options = options;
    this.network = new WorldNetwork(options.seed, options.delayMs ?? 1);
    this.#configFeed = new ConfigFeed(options.document, options.disks ?? [], {
      queue: this.queue,
      store: this.store,
      network: this.network,
      dispatch: (node, event) => this.#dispatchTo(node, event),
    });
    this.#runner = new EffectRunner({
      queue: this.queue,
      ledger: this.ledger,
      store: this.store,
      network: this.network,
      disks: this.disks,
      engines: this.engines,
      findNodes: (id) =>
        [...this.#nodes.values()].filter((node) => node.id === id),
      dispatch: (node, event) => this.#dispatchTo(node, event),
      setWatch: (node, isHeld) => this.#configFeed.setWatch(node, isHeld),
      storeConfig: (node, config) => this.#configFeed.storeOnDisk(node, config),
    });
    Object.keys(options.document.upstreams).forEach((id) => {
      this.#addEngine(id as UpstreamId);
    });
    const locations = listInstanceLocations(options.instances);
    this.#listed = new Map(locations.map(({ id, listed }) => [id, listed]));
    const { config } = this.#configFeed;
    locations.forEach(({ id, dataCentre }) => {
      this.start(id, dataCentre);
      this.dispatch(id, { kind: "config-offered", config, source: "store" });
    });
    this.#nodes.forEach((node) => {
      node.state = options.isCold ? node.state : markUpstreamsWarm(node.state);
    });
  }

  get nowMs(): number {
    return this.queue.nowMs;
  }

  get instanceIds(): readonly InstanceId[] {
    return [...this.#nodes]
      .filter(([, { isAlive }]) => isAlive)
      .map(([id]) => id);
  }

  get config(): Config {
    return this.#configFeed.config;
  }

  getState(id: InstanceId): InstanceState | undefined {
    return this.#nodes.get(id)?.state;
  }

  runFor(durationMs: number): void {
    this.queue.runUntil(this.nowMs + durationMs);
  }

  /** Starts an instance, or a new incarnation of one that has ended. */
  start(id: InstanceId, dataCentre: DataCentreId): void {
    this.#incarnations += 1;
    const incarnation = `i${this.#incarnations}`;
    const hasDisk = this.#options.disks?.includes(id) ?? true;
    const self = {
      instanceId: id,
      dataCentre,
      address: id,
      incarnation,
      hasDisk,
    };
    const seed = this.#options.seed * 1000 + this.#incarnations;
    const node: WorldNode = {
      state: createInstance(self, seed, this.#options.policy),
      id,
      dataCentre,
      isAlive: true,
      isPaused: false,
      held: [],
      listening: new Set(),
    };
    this.#nodes.set(id, node);
    this.#unlistedIds.delete(id);
    this.#offerInstanceList(node);
    this.#configFeed.offerDisk(node);
    this.#tick(node);
  }

  /** Starts a planned stop; the process ends once it is drained. */
  stop(id: InstanceId, noticeMs: number): void {
    const node = this.#nodes.get(id);
    if (node !== undefined) {
      this.dispatch(id, { kind: "stop-asked", noticeMs });
      this.#endDrained(node);
    }
  }

  #endDrained(node: WorldNode): void {
    if (!node.isAlive) {
      return;
    }
    if (isDrained(node.state, this.nowMs)) {
      this.dispatch(node.id, { kind: "stop-ended" });
      this.kill(node.id);
      return;
    }
    this.queue.schedule(TICK_INTERVAL_MS, () => this.#endDrained(node));
  }

  /** Starts a second process with the same ID; the first runs on as `~id`. */
  startDuplicate(id: InstanceId): InstanceId | undefined {
    const first = this.#nodes.get(id);
    const alias = `~${id}` as InstanceId;
    if (first === undefined || this.#nodes.get(alias)?.isAlive === true) {
      return undefined;
    }
    this.#nodes.set(alias, first);
    this.start(id, first.dataCentre);
    return alias;
  }

  /** Kills an instance; its state and its requests in flight are lost. */
  kill(id: InstanceId): void {
    const node = this.#nodes.get(id);
    if (node === undefined || !node.isAlive) {
      return;
    }
    node.isAlive = false;
    node.listening.forEach((attemptId) => {
      this.engines.forEach((engine) => {
        engine.cancel(attemptId);
      });
      this.ledger.recordRunEnd(attemptId, false, this.nowMs);
    });
    this.ledger.recordLostRequests(id, this.nowMs);
  }

  /** Suspends an instance's ticks and event delivery, as SIGSTOP does. */
  pause(id: InstanceId): void {
    const node = this.#nodes.get(id);
    if (node !== undefined) {
      node.isPaused = true;
    }
  }

  resume(id: InstanceId): void {
    const node = this.#nodes.get(id);
    if (node === undefined) {
      return;
    }
    node.isPaused = false;
    const deferred = node.held.splice(0);
    deferred.forEach((event) => {
      this.#dispatchTo(node, event);
    });
  }

  /** Sets an instance's state in the platform's list, or unlists it. */
  setListed(id: InstanceId, state: "live" | "leaving" | "gone"): void {
    const current = this.#listed.get(id);
    if (state === "gone") {
      this.#unlistedIds.add(id);
    } else if (current !== undefined) {
      this.#listed.set(id, { ...current, state });
    }
  }

  /** Stores a new configuration, as an operator's write does. */
  setConfig(document: ConfigDocument): Config {
    Object.keys(document.upstreams)
      .filter((id) => !this.engines.has(id as UpstreamId))
      .forEach((id) => {
        this.#addEngine(id as UpstreamId);
      });
    return this.#configFeed.acceptConfig(document);
  }

  /** Submits a request to an instance. */
  submitRequest(id: InstanceId, order: WorkOrder): void {
    const node = this.#nodes.get(id);
    if (node === undefined || !node.isAlive) {
      return;
    }
    this.ledger.recordArrival(order, id, this.nowMs);
    this.dispatch(id, { kind: "request-arrived", order });
  }

  /** Dispatches an event to an instance; deferred while it is paused. */
  dispatch(id: InstanceId, event: InstanceEvent): void {
    const node = this.#nodes.get(id);
    if (node !== undefined) {
      this.#dispatchTo(node, event);
    }
  }

  #dispatchTo(node: WorldNode, event: InstanceEvent): void {
    if (node.isAlive && node.isPaused) {
      node.held.push(event);
    } else if (node.isAlive) {
      this.#step(node, event);
    }
  }

  #addEngine(id: UpstreamId): void {
    const model = buildModel(this.#options, id);
    this.engines.set(id, new VirtualEngine(id, this.queue, model));
  }

  #tick(node: WorldNode): void {
    if (!node.isAlive) {
      return;
    }
    if (!node.isPaused) {
      this.#step(node, { kind: "tick" });
    }
    this.queue.schedule(TICK_INTERVAL_MS, () => this.#tick(node));
  }

  #offerInstanceList(node: WorldNode): void {
    if (!node.isAlive) {
      return;
    }
    const location = { id: node.id, dataCentre: node.dataCentre };
    const isReachable = !this.network.isCut(location, PLATFORM_LOCATION);
    if (isReachable && !this.store.faults.isDown) {
      const instances = [...this.#listed.values()].filter(
        ({ instanceId }) => !this.#unlistedIds.has(instanceId),
      );
      this.#dispatchTo(node, {
        kind: "instances-listed",
        instances,
        isComplete: true,
      });
    }
    this.queue.schedule(LIST_INTERVAL_MS, () => this.#offerInstanceList(node));
  }

  #step(node: WorldNode, event: InstanceEvent): void {
    const runStep = this.#options.step ?? stepInstance;
    const { limits } = node.state;
    const step = runStep(node.state, event, this.nowMs);
    node.state = step.state;
    this.ledger.recordAdmissions(limits, step.state, this.nowMs);
    step.effects.forEach((effect) => {
      this.#runner.runEffect(node, effect);
    });
  }
}
