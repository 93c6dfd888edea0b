const SECOND_MS = 1_000;
const MINUTE_MS = 60 * SECOND_MS;
const HOUR_MS = 60 * MINUTE_MS;

/** Time windows of the burn report, with the length of their slots. */
export const BURN_WINDOWS = [
  { name: "5min", lengthMs: 5 * MINUTE_MS, slotMs: 10 * SECOND_MS },
  { name: "1h", lengthMs: HOUR_MS, slotMs: MINUTE_MS },
  { name: "6h", lengthMs: 6 * HOUR_MS, slotMs: 6 * MINUTE_MS },
  { name: "3d", lengthMs: 72 * HOUR_MS, slotMs: HOUR_MS },
] as const;
