import type { ChartFile } from "../charts/types.ts";

/**
 * State chart of a roll-out, from its order to its end. It is a constant, since the
 * bundled program has no folder of charts beside it.
 */
export const ROLLOUT_TRANSITIONS: ChartFile = {
  id: "rollout",
  initial: "ordered",
  states: {
    ordered: { on: { ADVANCE: "trial", ROLL_BACK: "rolled-back" } },
    trial: { on: { ADVANCE: "small", ROLL_BACK: "rolled-back" } },
    small: { on: { ADVANCE: "large", ROLL_BACK: "rolled-back" } },
    large: { on: { ADVANCE: "most", ROLL_BACK: "rolled-back" } },
    most: { on: { ADVANCE: "all", ROLL_BACK: "rolled-back" } },
    all: { on: { ADVANCE: "completed", ROLL_BACK: "rolled-back" } },
    completed: { type: "final" },
    "rolled-back": { type: "final" },
  },
};
