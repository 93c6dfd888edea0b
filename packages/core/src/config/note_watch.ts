import type { InstanceState } from "../instance/types.ts";
import { SPREAD } from "./constants.ts";

/** Notes how the own watch went; a broken one leaves the duty to others. */
export function noteWatch(
  state: InstanceState,
  isReached: boolean,
  nowMs: number,
): InstanceState {
  const brokenUntilMs = isReached ? 0 : nowMs + SPREAD.WATCH_BROKEN_MS;
  return { ...state, spread: { ...state.spread, brokenUntilMs } };
}
