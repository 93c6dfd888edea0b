import { addCustomerCharge } from "../queue/add_customer_charge.ts";
import type { FairQueueTags } from "../queue/types.ts";
import { dropWaiting } from "./drop_waiting.ts";
import { listWaiting } from "./list_waiting.ts";
import type { WaitingRequest, WaitingRoom } from "./types.ts";

/** Records that a request starts, whether it has waited or not. */
export function recordWaitingStart(
  room: WaitingRoom,
  request: WaitingRequest,
  nowMs: number,
): WaitingRoom {
  const rest = dropWaiting(room, request);
  const { customer, costTokens } = request;
  const started = { customer, costTokens, weight: 1 };
  const isLate = request.startByMs < nowMs;
  const leavesLate = listWaiting(rest).some(
    ({ startByMs }) => startByMs < nowMs,
  );
  return {
    ...rest,
    tags: dropIdle(addCustomerCharge(rest.tags, started)),
    lateTurns: isLate || !leavesLate ? 0 : rest.lateTurns + 1,
  };
}

/** A tag that the virtual time has passed says nothing any more. */
function dropIdle({ virtualTime, finishTags }: FairQueueTags): FairQueueTags {
  const ahead = Object.entries(finishTags).filter(
    ([, tag]) => tag > virtualTime,
  );
  return { virtualTime, finishTags: Object.fromEntries(ahead) };
}
