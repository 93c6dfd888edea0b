import type { InstanceState, Step } from "../instance/types.ts";
import { assertNever } from "../shared/assert_never.ts";
import { adoptRevision } from "./adopt_revision.ts";
import { applyPatch } from "./apply_patch.ts";
import { offerConfig } from "./offer_config.ts";
import type { Config, ConfigPatch, ConfigSent } from "./types.ts";

type Patched = {
  readonly config: Config;
  readonly patches: readonly ConfigPatch[];
};

/** Takes a peer's configuration; one that is not higher changes nothing. */
export function takeConfig(
  state: InstanceState,
  content: ConfigSent["content"],
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
        : adoptRevision(state, applyAll(state.config, content.patches), nowMs);
    default:
      return assertNever(content);
  }
}

function applyAll(config: Config, patches: readonly ConfigPatch[]): Patched {
  const start: Patched = { config, patches: [] };
  return patches.reduce((done, patch) => {
    const next = applyPatch(done.config, patch);
    return next === undefined
      ? done
      : { config: next, patches: [...done.patches, patch] };
  }, start);
}
