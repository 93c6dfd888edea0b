import type { UpstreamId } from "@gooseberryline/core";
import { ENGINE_DEFAULTS } from "./engine_defaults.ts";
import type { EngineModel, WorldOptions } from "./types.ts";

/** Builds the model of one engine: its slots are its `maxConcurrency`. */
export function buildModel(
  { document, engine }: WorldOptions,
  id: UpstreamId,
): EngineModel {
  const config = document.upstreams[id];
  return {
    ...ENGINE_DEFAULTS,
    ...(config === undefined ? {} : { slots: config.maxConcurrency }),
    ...engine,
  };
}
