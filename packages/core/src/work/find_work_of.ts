import type { AttemptId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import type { Work } from "./types.ts";

/** Finds the work whose running attempt has this id, if any still has. */
export function findWorkOf(
  state: InstanceState,
  attemptId: AttemptId,
): Work | undefined {
  return Object.values(state.works).find(
    ({ attempt }) => attempt?.attemptId === attemptId,
  );
}
