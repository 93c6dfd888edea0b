import type { InstanceState, Step } from "../instance/types.ts";
import { adoptRevision } from "./adopt_revision.ts";
import type { Config, ConfigSource } from "./types.ts";

/**
 * Handles an offered configuration. One from the store is adopted at once, and
 * so is any offer once a configuration is in force. A starting instance first
 * collects offers from peers and disk and then adopts the highest revision.
 */
export function offerConfig(
  state: InstanceState,
  {
    config,
    source,
  }: { readonly config: Config; readonly source: ConfigSource },
  nowMs: number,
): Step {
  const isStarting = state.config === undefined && source !== "store";
  if (!isStarting) {
    return adoptRevision(state, { config }, nowMs);
  }
  const best = state.configPropagation.offered;
  const offered =
    best === undefined || config.revision > best.revision ? config : best;
  return {
    state: {
      ...state,
      configPropagation: {
        ...state.configPropagation,
        offered,
        pendingRequest: undefined,
      },
    },
    effects: [],
  };
}
