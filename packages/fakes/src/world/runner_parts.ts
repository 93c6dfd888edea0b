import type {
  Config,
  InstanceEvent,
  InstanceId,
  UpstreamId,
} from "@gooseberryline/core";
import type { EventQueue } from "./event_queue.ts";
import type { WorldNode } from "./types.ts";
import type { VirtualDisks } from "./virtual_disks.ts";
import type { VirtualEngine } from "./virtual_engine.ts";
import type { VirtualStore } from "./virtual_store.ts";
import type { WorldLedger } from "./world_ledger.ts";
import type { WorldNetwork } from "./world_network.ts";

/** What the runner needs of the world around the instances. */
export type RunnerParts = {
  readonly queue: EventQueue;
  readonly ledger: WorldLedger;
  readonly store: VirtualStore;
  readonly network: WorldNetwork;
  readonly disks: VirtualDisks;
  readonly engines: ReadonlyMap<UpstreamId, VirtualEngine>;
  /** The processes that run under a name. */
  readonly findNodes: (id: InstanceId) => readonly WorldNode[];
  readonly post: (node: WorldNode, event: InstanceEvent) => void;
  readonly setWatch: (node: WorldNode, isHeld: boolean) => void;
  readonly keepConfig: (node: WorldNode, config: Config) => void;
};
