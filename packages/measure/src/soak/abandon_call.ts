import type { InstanceId, WorkId } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";

/** Abandons a request on behalf of its caller, unless it has already ended. */
export function abandonCall(
  world: World,
  id: InstanceId,
  workId: WorkId,
): void {
  if (world.ledger.findCall(workId)?.end === undefined) {
    world.ledger.recordEnd(workId, { kind: "abandoned" }, world.nowMs);
    world.dispatch(id, { kind: "request-abandoned", workId });
  }
}
