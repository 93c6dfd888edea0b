/** The gateway: serves callers and runs batch jobs on discovered upstreams. */
export type * from "./dialect/types.ts";
export { isHeaderValue } from "./exchange/is_header_value.ts";
export { computeGossipIntervalMs } from "./fleet/compute_gossip_interval_ms.ts";
export { FleetView } from "./fleet/fleet_view.ts";
export { loadCodec } from "./fleet/load_codec.ts";
export { ItemPlacer } from "./jobs/item_placer.ts";
export { listOverloads } from "./jobs/list_overloads.ts";
export type { WaitingItem } from "./jobs/types.ts";
export { FaultCounter } from "./logs/fault_counter.ts";
export { LineSink } from "./logs/line_sink.ts";
export type * from "./placing/types.ts";
export { chooseUpstream } from "./requests/choose_upstream.ts";
export { type Gateway, runGateway } from "./run_gateway.ts";
export type * from "./settings/types.ts";
