import type { RolloutTracker } from "../rollouts/rollout_tracker.ts";
import type { ItemRun } from "./item_run.ts";

/** Stops the items at upstreams that a roll-out is about to stop. */
export function moveItems(
  rollouts: RolloutTracker,
  runs: readonly ItemRun[],
): void {
  runs
    .filter(({ upstream }) => rollouts.shouldMoveItem(upstream))
    .forEach((run) => {
      run.yieldSlot();
    });
}
