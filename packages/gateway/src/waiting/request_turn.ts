import { PLACING, type Route, type RouteCustomer } from "@gooseberryline/core";
import { callErrors } from "../requests/call_errors.ts";
import { computeTimeLimitMs } from "../requests/compute_time_limit_ms.ts";
import type { AdmittedCall, CallError } from "../requests/types.ts";
import { ROOMS } from "./constants.ts";
import type { ReturnedCalls } from "./returned_calls.ts";
import type { EndTurn, TurnRefusal } from "./types.ts";
import type { WaitingRooms } from "./waiting_rooms.ts";

/** The rooms of an instance, and what it knows of callers that return. */
export type TurnParts = {
  readonly rooms: Pick<WaitingRooms, "enter">;
  readonly returned: ReturnedCalls;
  readonly readNowMs: () => number;
  readonly getMeanServiceTimeMs: (service: string) => number;
  readonly isOverRate: (customer: RouteCustomer) => boolean;
};

/** What of a call decides its turn. */
export type TurnCall = Pick<AdmittedCall, "service" | "receivedMs"> & {
  readonly head: Pick<
    AdmittedCall["head"],
    "requestId" | "tokens" | "deadlineMs"
  >;
  readonly route: Pick<Route, "name" | "timeoutMs" | "objectiveMs">;
  readonly customer: RouteCustomer | undefined;
  readonly body: { readonly length: number };
};

type RequestTurnEvents = {
  /** Takes a token of the customer's rate; false if the request is refused. */
  readonly admit: () => boolean;
  readonly onTurn: () => void;
  readonly onRefused: (error: CallError) => void;
};

/** A request's turn: it starts, waits for it, or is refused. */
export class RequestTurn {
  #end: EndTurn = () => undefined;
  #isOver = false;

  /** Asks for the turn; it comes at once where requests don't wait here. */
  request(
    call: TurnCall,
    parts: TurnParts | undefined,
    events: RequestTurnEvents,
  ): void {
    if (parts === undefined) {
      events.onTurn();
      return;
    }
    const { head, route, receivedMs, customer, service } = call;
    const limitMs = computeTimeLimitMs(route, head);
    const leftMs = receivedMs + limitMs - parts.readNowMs();
    const runMs = parts.getMeanServiceTimeMs(service);
    const coming = {
      requestId: head.requestId,
      customer: customer?.name ?? "",
      costTokens: head.tokens
        ? head.tokens.prompt + head.tokens.output
        : ROOMS.DEFAULT_TOKENS,
      bytes: call.body.length,
      startByMs: receivedMs + route.objectiveMs * PLACING.MAX_QUEUE_WAIT_SHARE,
      endByMs: receivedMs + limitMs - runMs,
      maxReturnMs: leftMs * ROOMS.RETURN_LEFT_SHARE,
      isReturned: parts.returned.isReturned(
        route.name,
        head.deadlineMs,
        parts.readNowMs(),
      ),
    };
    const end = parts.rooms.enter(service, coming, {
      isOverRate: () => customer !== undefined && parts.isOverRate(customer),
      admit: events.admit,
      onTurn: events.onTurn,
      onRefused: (refusal) => events.onRefused(buildError(refusal)),
    });
    // It may have ended while it started.
    if (this.#isOver) {
      end();
    } else {
      this.#end = end;
    }
  }

  /** Gives back what the request holds; it has ended. */
  end(): void {
    this.#isOver = true;
    this.#end();
    this.#end = () => undefined;
  }
}

function buildError({ reason, returnInMs }: TurnRefusal): CallError {
  return reason === ROOMS.OVER_RATE
    ? callErrors.rateLimited(returnInMs)
    : callErrors.roomLater(`no room for it (${reason})`, returnInMs);
}
