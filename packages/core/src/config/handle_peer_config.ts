import type { InstanceState, Step } from "../instance/types.ts";
import { assertNever } from "../shared/assert_never.ts";
import { adoptRevision } from "./adopt_revision.ts";
import { applyPatch } from "./apply_patch.ts";
import { offerConfig } from "./offer_config.ts";
import type { Config, ConfigPatch, ConfigResponse } from "./types.ts";

type PatchedConfig = {
  readonly config: Config;
  readonly patches: readonly ConfigPatch[];
};

/** Handles a configuration or patches sent by a peer. */
export function handlePeerConfig(
  state: InstanceState,
  content: ConfigResponse["content"],
  nowMs: number,
): Step {
  switch (content.kind) {
    case "whole": {
      const { config } = content;
      return offerConfig(state, { config, source: "peer" }, nowMs);
    }
    case "patches":
      return state.config === undefined
        ? { state, effects: [] }
        : adoptRevision(
            state,
            applyPatches(state.config, content.patches),
            nowMs,
          );
    default:
      return assertNever(content);
  }
}

function applyPatches(
  config: Config,
  patches: readonly ConfigPatch[],
): PatchedConfig {
  const initial: PatchedConfig = { config, patches: [] };
  return patches.reduce((result, patch) => {
    const next = applyPatch(result.config, patch);
    return next === undefined
      ? result
      : { config: next, patches: [...result.patches, patch] };
  }, initial);
}
