import type {
  Config,
  ConfigDocument,
  InstanceEvent,
  InstanceId,
} from "@gooseberryline/core";
import type { EventQueue } from "./event_queue.ts";
import { PLATFORM_PLACE } from "./platform_place.ts";
import type { WorldNode } from "./types.ts";
import type { VirtualStore } from "./virtual_store.ts";
import type { WorldNetwork } from "./world_network.ts";

const WATCH_MS = 3_000;
const PROBE_TIMEOUT_MS = 2_000;
const RETRY_MS = 500;

/** What the feed needs of the world. */
export type FeedParts = {
  readonly queue: EventQueue;
  readonly store: VirtualStore;
  readonly network: WorldNetwork;
  readonly post: (node: WorldNode, event: InstanceEvent) => void;
};

/** The store's configuration, its watches, and the copies on disks. */
export class ConfigFeed {
  readonly #parts: FeedParts;
  readonly #watches = new Map<WorldNode, number>();
  readonly #disks = new Map<InstanceId, Config | undefined>();
  #config: Config;
  #watchCount = 0;

  constructor(
    document: ConfigDocument,
    disks: readonly string[],
    parts: FeedParts,
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

  /** Accepts the next revision; watches that reach the store answer. */
  accept(document: ConfigDocument): Config {
    this.#config = { revision: this.#config.revision + 1, document };
    this.#watches.forEach((_count, node) => {
      if (this.#isReached(node)) {
        this.#offer(node);
      }
    });
    return this.#config;
  }

  setWatch(node: WorldNode, isHeld: boolean): void {
    if (!isHeld) {
      this.#watches.delete(node);
      return;
    }
    this.#watchCount += 1;
    this.#watches.set(node, this.#watchCount);
    this.#watch(node, this.#watchCount);
  }

  /** Keeps a configuration where the instance has a disk. */
  keep({ id }: WorldNode, config: Config): void {
    if (this.#disks.has(id)) {
      this.#disks.set(id, config);
    }
  }

  /** Offers a starting instance what its disk holds. */
  offerDisk(node: WorldNode): void {
    const config = this.#disks.get(node.id);
    if (config !== undefined) {
      this.#parts.post(node, {
        kind: "config-offered",
        config,
        source: "disk",
      });
    }
  }

  #watch(node: WorldNode, count: number): void {
    const isCurrent = this.#watches.get(node) === count;
    if (!node.isAlive || !isCurrent) {
      return;
    }
    const isReached = this.#isReached(node);
    const { queue, store, post } = this.#parts;
    if (isReached && store.meter.admitCall("/kv/watch", queue.nowMs)) {
      this.#offer(node);
    }
    const answerMs = isReached ? store.faults.delayMs : PROBE_TIMEOUT_MS;
    queue.schedule(answerMs, () =>
      post(node, { kind: "config-watch-ended", isReached }),
    );
    const nextMs = answerMs + (isReached ? WATCH_MS : RETRY_MS);
    queue.schedule(nextMs, () => this.#watch(node, count));
  }

  #offer(node: WorldNode): void {
    const config = this.#config;
    const { queue, store, post } = this.#parts;
    queue.schedule(store.faults.delayMs, () =>
      post(node, { kind: "config-offered", config, source: "store" }),
    );
  }

  #isReached({ id, dataCentre }: WorldNode): boolean {
    const { store, network } = this.#parts;
    const isCut = network.isCut({ id, dataCentre }, PLATFORM_PLACE);
    return !store.faults.isDown && !isCut;
  }
}
