import type { AttemptId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import type { Work } from "./types.ts";

/** Finds the work that a running attempt belongs to. */
export function findWorkByAttempt(
  state: InstanceState,
  attemptId: AttemptId,
): Work | undefined {
  const workId = getSharded(state.attempts, attemptId);
  return workId === undefined ? undefined : getSharded(state.works, workId);
}
