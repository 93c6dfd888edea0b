import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { adoptConfig } from "./adopt_config.ts";
import { CONFIG_PROPAGATION } from "./constants.ts";
import { listChanges } from "./list_changes.ts";
import type { Config, ConfigPatch } from "./types.ts";

/**
 * Adopts a configuration if its revision is higher, and retains the patches
 * that led to it for peers. If `patches` is omitted, a patch is computed from
 * the previous document.
 */
export function adoptRevision(
  state: InstanceState,
  {
    config,
    patches,
  }: {
    readonly config: Config;
    readonly patches?: readonly ConfigPatch[];
  },
  nowMs: number,
): Step {
  const before = state.config;
  if (before !== undefined && config.revision <= before.revision) {
    return { state, effects: [] };
  }
  const applied =
    patches ?? (before === undefined ? [] : [buildPatch(before, config)]);
  const adopted = adoptConfig(state, config, nowMs);
  return chainStep(adopted, (after) => ({
    state: {
      ...after,
      configPropagation: {
        ...after.configPropagation,
        offered: undefined,
        pendingRequest: undefined,
        patches: [...after.configPropagation.patches, ...applied].slice(
          -CONFIG_PROPAGATION.MAX_KEPT_PATCHES,
        ),
      },
    },
    effects: [{ kind: "keep-config", config }],
  }));
}

function buildPatch(before: Config, after: Config): ConfigPatch {
  return {
    from: before.revision,
    to: after.revision,
    sections: listChanges(before.document, after.document),
  };
}
