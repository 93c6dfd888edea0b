import type {
  Config,
  ConfigDocument,
  InstanceEvent,
  InstanceId,
} from "@gooseberryline/core";
import type { EventQueue } from "./event_queue.ts";
import { PLATFORM_LOCATION } from "./platform_location.ts";
import type { WorldNode } from "./types.ts";
import type { VirtualStore } from "./virtual_store.ts";
import type { WorldNetwork } from "./world_network.ts";

const WATCH_INTERVAL_MS = 3_000;
const PROBE_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 500;

/** Dependencies of the configuration feed. */
export type ConfigFeedContext = {
  readonly queue: EventQueue;
  readonly store: VirtualStore;
  readonly network: WorldNetwork;
  readonly dispatch: (node: WorldNode, event: InstanceEvent) => void;
};

/** Holds the stored configuration, its watches and the copies on disks. */
export class ConfigFeed {
  readonly #parts: ConfigFeedContext;
  readonly #watches = new Map<WorldNode, number>();
  readonly #disks = new Map<InstanceId, Config | undefined>();
  #config: Config;
  #lastWatchId = 0;

  constructor(
    document: ConfigDocument,
    disks: readonly string[],
    parts: ConfigFeedContext,
  ) {
    this.#config = { revision: 1, document };
    this.#parts = parts;
    disks.forEach((id) => {
      this.#disks.set(id as InstanceId, undefined);
    });
  }

  get config(): Config {
    return this.#config;
  }

  /** Stores the next revision and notifies watches that reach the store. */
  acceptConfig(document: ConfigDocument): Config {
    this.#config = { revision: this.#config.revision + 1, document };
    this.#watches.forEach((_count, node) => {
      if (this.#isReachable(node)) {
        this.#offer(node);
      }
    });
    return this.#config;
  }

  setWatch(node: WorldNode, isWatching: boolean): void {
    if (!isWatching) {
      this.#watches.delete(node);
      return;
    }
    this.#lastWatchId += 1;
    this.#watches.set(node, this.#lastWatchId);
    this.#watch(node, this.#lastWatchId);
  }

  /** Stores a configuration on the instance's disk, if it has one. */
  storeOnDisk({ id }: WorldNode, config: Config): void {
    if (this.#disks.has(id)) {
      this.#disks.set(id, config);
    }
  }

  /** Offers a starting instance the configuration on its disk. */
  offerDisk(node: WorldNode): void {
    const config = this.#disks.get(node.id);
    if (config !== undefined) {
      this.#parts.dispatch(node, {
        kind: "config-offered",
        config,
        source: "disk",
      });
    }
  }

  #watch(node: WorldNode, watchId: number): void {
    const isCurrent = this.#watches.get(node) === watchId;
    if (!node.isAlive || !isCurrent) {
      return;
    }
    const isReached = this.#isReachable(node);
    const { queue, store, dispatch } = this.#parts;
    if (isReached && store.meter.admitCall("/kv/watch", queue.nowMs)) {
      this.#offer(node);
    }
    const answerMs = isReached ? store.faults.delayMs : PROBE_TIMEOUT_MS;
    queue.schedule(answerMs, () =>
      dispatch(node, { kind: "config-watch-ended", isReached }),
    );
    const nextMs = answerMs + (isReached ? WATCH_INTERVAL_MS : RETRY_DELAY_MS);
    queue.schedule(nextMs, () => this.#watch(node, watchId));
  }

  #offer(node: WorldNode): void {
    const config = this.#config;
    const { queue, store, dispatch } = this.#parts;
    queue.schedule(store.faults.delayMs, () =>
      dispatch(node, { kind: "config-offered", config, source: "store" }),
    );
  }

  #isReachable({ id, dataCentre }: WorldNode): boolean {
    const { store, network } = this.#parts;
    const isCut = network.isCut({ id, dataCentre }, PLATFORM_LOCATION);
    return !store.faults.isDown && !isCut;
  }
}
