/** Fakes of the external systems that the product communicates with. */
export { startEngine } from "./engine/start_engine.ts";
export type {
  EngineFaults,
  EngineOptions,
  FakeEngine,
} from "./engine/types.ts";
export { findPort } from "./find_port.ts";
export { createMetadata } from "./metadata/create_metadata.ts";
export type * from "./metadata/types.ts";
export { WatchTap } from "./metadata/watch_tap.ts";
export { startStore } from "./platform/start_store.ts";
export { StoreState } from "./platform/store_state.ts";
export type * from "./platform/types.ts";
export { startProxy } from "./proxy/start_proxy.ts";
export type * from "./proxy/types.ts";
export { endWithConnection } from "./service/end_with_connection.ts";
export { sendInTwoParts } from "./service/send_in_two_parts.ts";
export { startService } from "./service/start_service.ts";
export type * from "./service/types.ts";
export { waitUntilReady } from "./wait_until_ready.ts";
export { EventQueue } from "./world/event_queue.ts";
export type {
  Admission,
  EngineModel,
  EngineRun,
  RequestRecord,
  WorldOptions,
} from "./world/types.ts";
export { VirtualEngine } from "./world/virtual_engine.ts";
export { World } from "./world/world.ts";
export type { WorldLedger } from "./world/world_ledger.ts";
