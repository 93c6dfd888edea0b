import type { UpstreamId } from "@gooseberryline/core";
import { ENGINE_DEFAULTS } from "./engine_defaults.ts";
import type { EngineModel, WorldOptions } from "./types.ts";

/** Builds an engine's model; `maxConcurrency` sets its number of slots. */
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
