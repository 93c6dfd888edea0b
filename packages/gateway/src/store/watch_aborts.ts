/** Reasons given to the signal that aborts a watch. */
export const WATCH_ABORTS = {
  /** Peers have seen a change that the watch did not bring. */
  behind: "behind",
} as const;
