import type { AttemptId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import type { Work } from "./types.ts";

/** Finds the work whose running attempt has this id, if any still has. */
export function findWorkByAttempt(
  state: InstanceState,
  attemptId: AttemptId,
): Work | undefined {
  const workId = getSharded(state.attempts, attemptId);
  return workId === undefined ? undefined : getSharded(state.works, workId);
}
