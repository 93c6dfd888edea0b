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

/** Dependencies of the effect runner in the simulated world. */
export type EffectContext = {
  readonly queue: EventQueue;
  readonly ledger: WorldLedger;
  readonly store: VirtualStore;
  readonly network: WorldNetwork;
  readonly disks: VirtualDisks;
  readonly engines: ReadonlyMap<UpstreamId, VirtualEngine>;
  /** Returns all processes with this instance ID. */
  readonly findNodes: (id: InstanceId) => readonly WorldNode[];
  readonly dispatch: (node: WorldNode, event: InstanceEvent) => void;
  readonly setWatch: (node: WorldNode, isWatching: boolean) => void;
  readonly storeConfig: (node: WorldNode, config: Config) => void;
};
