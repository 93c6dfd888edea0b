import { readStartTag } from "../queue/read_start_tag.ts";
import { WAITING } from "./constants.ts";
import type { WaitingRequest, WaitingRoom } from "./types.ts";

type Head = { readonly request: WaitingRequest; readonly tag: number };

/**
 * Finds the request to start next: of the customer with the least work for its
 * weight, the one whose objective ends first. Requests that can't meet their
 * objective any more come after all that can, but for each `LATE_TURN`th start;
 * of them the one goes first that can be answered in time for the shortest while.
 */
export function findNextWaiting(
  room: WaitingRoom,
  nowMs: number,
): WaitingRequest | undefined {
  const inTime = findHead(
    room,
    ({ startByMs }) => startByMs >= nowMs,
    orderByStart,
  );
  const late = findHead(room, ({ startByMs }) => startByMs < nowMs, orderByEnd);
  return late !== undefined && room.lateTurns >= WAITING.LATE_TURN
    ? late
    : (inTime ?? late);
}

function findHead(
  room: WaitingRoom,
  isMeant: (request: WaitingRequest) => boolean,
  order: (a: WaitingRequest, b: WaitingRequest) => number,
): WaitingRequest | undefined {
  return [...room.customers]
    .flatMap(([customer, requests]): readonly Head[] => {
      const [request] = requests.filter(isMeant).toSorted(order);
      const tag = readStartTag(room.tags, customer);
      return request === undefined ? [] : [{ request, tag }];
    })
    .toSorted((a, b) => a.tag - b.tag || order(a.request, b.request))
    .at(0)?.request;
}

function orderByStart(a: WaitingRequest, b: WaitingRequest): number {
  return a.startByMs - b.startByMs || a.id - b.id;
}

function orderByEnd(a: WaitingRequest, b: WaitingRequest): number {
  return a.endByMs - b.endByMs || a.id - b.id;
}
