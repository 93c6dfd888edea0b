/** The gateway: serves callers and runs jobs before discovered upstreams. */
export type * from "./dialect/types.ts";
export { LineSink } from "./logs/line_sink.ts";
export { type Gateway, runGateway } from "./run_gateway.ts";
export type * from "./settings/types.ts";
