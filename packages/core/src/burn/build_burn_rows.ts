import type { ConfigDocument } from "../config/types.ts";
import { BURN_WINDOWS } from "./constants.ts";
import type { BurnRow, BurnState } from "./types.ts";

/**
 * Builds the rows of one instance's report. Burn rates are relative to the
 * objective of each profile.
 */
export function buildBurnRows(
  state: BurnState,
  document: ConfigDocument,
  nowMs: number,
): readonly BurnRow[] {
  return Object.values(state).flatMap(({ profile, customer, windows }) =>
    BURN_WINDOWS.map(({ name, lengthMs, slotMs }) => {
      const oldest =
        Math.floor(nowMs / slotMs) - Math.ceil(lengthMs / slotMs) + 1;
      const slots = (windows[name] ?? []).filter(({ slot }) => slot >= oldest);
      const total = slots.reduce((sum, slot) => sum + slot.total, 0);
      const missed = slots.reduce((sum, slot) => sum + slot.missed, 0);
      const missedShare = total === 0 ? 0 : missed / total;
      const objective = document.profiles[profile]?.objective;
      const burnRate =
        objective === undefined ? 0 : missedShare / (1 - objective);
      return {
        profile,
        customer,
        window: name,
        total,
        missed,
        missedShare,
        burnRate,
      };
    }),
  );
}
