/** Small stand-ins for the systems that the product meets. */
export { startEngine } from "./engine/start_engine.ts";
export type * from "./engine/types.ts";
export { startStore } from "./platform/start_store.ts";
export { StoreState } from "./platform/store_state.ts";
export type * from "./platform/types.ts";
