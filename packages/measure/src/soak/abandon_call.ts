import type { InstanceId, WorkId } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";

/** Lets a request's caller go away, unless it has its answer. */
export function abandonCall(
  world: World,
  id: InstanceId,
  workId: WorkId,
): void {
  if (world.ledger.findCall(workId)?.end === undefined) {
    world.ledger.noteEnd(workId, { kind: "abandoned" }, world.nowMs);
    world.post(id, { kind: "request-abandoned", workId });
  }
}
