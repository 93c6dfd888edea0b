import type { InstanceState, Step } from "../instance/types.ts";
import { adoptRevision } from "./adopt_revision.ts";
import type { Config, ConfigSource } from "./types.ts";

/**
 * Takes an offered configuration. The store's is adopted at once. A starting
 * instance that has none yet collects those of peers and disk for a while
 * and then adopts the highest.
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
  const best = state.spread.offered;
  const offered =
    best === undefined || config.revision > best.revision ? config : best;
  return {
    state: {
      ...state,
      spread: { ...state.spread, offered, pendingRequest: undefined },
    },
    effects: [],
  };
}
