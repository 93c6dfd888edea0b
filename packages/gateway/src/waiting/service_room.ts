import {
  addWaiting,
  assertNever,
  type CustomerDemand,
  canStart,
  countDemand,
  createWaitingRoom,
  decideWait,
  dropWaiting,
  estimateOverloadMs,
  findNextWaiting,
  listHopeless,
  listWaiting,
  type Overload,
  planReturn,
  type ReturnPlan,
  recordOverload,
  recordReturn,
  recordWaitingStart,
  WAITING,
  type WaitingRequest,
  type WaitingRoom,
} from "@gooseberryline/core";
import { ROOMS } from "./constants.ts";
import { estimateOutlook } from "./estimate_outlook.ts";
import { FleetOutlook } from "./fleet_outlook.ts";
import type { TurnLog } from "./turn_log.ts";
import {
  type ComingRequest,
  type EndTurn,
  type Outlook,
  type RoomParts,
  TURN_OUTCOMES,
  type TurnEvents,
  type TurnOutcome,
} from "./types.ts";

type WaitingCall = {
  readonly request: WaitingRequest & Pick<ComingRequest, "requestId">;
  readonly events: TurnEvents;
  readonly cameMs: number;
  state: CallState;
};

/** `over`: it has ended, or was refused. */
type CallState = "waiting" | "started" | "over";

/** Holds the requests for one service that wait at this instance. */
export class ServiceRoom {
  readonly #service: string;
  readonly #parts: RoomParts;
  readonly #log: TurnLog;
  readonly #fleet: FleetOutlook;
  readonly #calls = new Map<number, WaitingCall>();
  readonly #inFlight = new Map<string, number>();
  #room: WaitingRoom = createWaitingRoom();
  #returns: ReturnPlan = [];
  #overload: Overload | undefined;
  /** When requests came that were not refused, ascending, in ms. */
  #arrivals: readonly number[] = [];
  #lastId = 0;

  constructor(service: string, parts: RoomParts, log: TurnLog) {
    this.#service = service;
    this.#parts = parts;
    this.#log = log;
    this.#fleet = new FleetOutlook(parts.view, service);
  }

  /** Requests that wait. */
  get count(): number {
    return this.#room.count;
  }

  /** Bytes of their bodies. */
  get bytes(): number {
    return this.#room.bytes;
  }

  /** Requests in flight and waiting, by customer. */
  get demand(): CustomerDemand {
    return countDemand(this.#room, this.#inFlight);
  }

  /** Starts a request, lets it wait, or refuses it. */
  enter(coming: ComingRequest, events: TurnEvents): EndTurn {
    const nowMs = this.#parts.view.readNowMs();
    this.#lastId += 1;
    const request = { ...coming, id: this.#lastId };
    const call: WaitingCall = {
      request,
      events,
      cameMs: nowMs,
      state: "waiting",
    };
    if (request.isReturned) {
      this.#returns = recordReturn(this.#returns);
    }
    const outlook = this.#look(request.customer);
    const { pace, isOpen, isUsable } = outlook;
    const returns = this.#returns;
    const decision = isUsable
      ? decideWait(this.#room, request, { pace, isOpen, returns, nowMs })
      : ({ kind: "start" } as const);
    if (decision.kind === "refuse") {
      const { reason, expectedMs } = decision;
      // It takes no place among those who are told to return.
      if (events.isOverRate()) {
        const { OVER_RATE } = ROOMS;
        this.#record(call, TURN_OUTCOMES.refused, {
          outlook,
          reason: OVER_RATE,
        });
        events.onRefused({ reason: OVER_RATE, returnInMs: expectedMs });
        return () => undefined;
      }
      this.#refuse(call, TURN_OUTCOMES.refused, reason, expectedMs, outlook);
      return () => undefined;
    }
    if (!events.admit()) {
      return () => undefined;
    }
    this.#arrivals = [...this.#arrivals, nowMs];
    if (decision.kind === "start") {
      this.#start(call, TURN_OUTCOMES.started, outlook);
    } else {
      this.#room = addWaiting(this.#room, request);
      this.#calls.set(request.id, call);
    }
    return () => this.#end(call);
  }

  /** Starts what can start, and refuses what can't be answered in time any more. */
  look(): void {
    if (this.#room.count === 0) {
      return;
    }
    const outlook = this.#look();
    if (!outlook.isUsable) {
      listWaiting(this.#room).forEach((request) => {
        const expectedMs = ROOMS.NO_UPSTREAM_RETURN_MS;
        this.#giveUp(request, "no-upstream", expectedMs, outlook);
      });
      return;
    }
    const left = this.#startNext(outlook);
    const nowMs = this.#parts.view.readNowMs();
    listHopeless(this.#room, left.pace, nowMs).forEach((request) => {
      this.#giveUp(request, "hopeless", left.pace.meanServiceMs, left);
    });
  }

  /** Returns the outlook once nothing more can start. */
  #startNext(outlook: Outlook): Outlook {
    const { pace, isOpen } = outlook;
    const nowMs = this.#parts.view.readNowMs();
    const next = findNextWaiting(this.#room, nowMs);
    const call = next && this.#calls.get(next.id);
    if (call === undefined || !isOpen || !canStart(pace)) {
      return outlook;
    }
    this.#start(call, TURN_OUTCOMES.waited, outlook);
    return this.#startNext(this.#look());
  }

  #start(call: WaitingCall, outcome: TurnOutcome, outlook: Outlook): void {
    const { request, events } = call;
    const nowMs = this.#parts.view.readNowMs();
    call.state = "started";
    this.#calls.delete(request.id);
    this.#room = recordWaitingStart(this.#room, request, nowMs);
    this.#countInFlight(request.customer, 1);
    this.#record(call, outcome, { outlook });
    events.onTurn();
  }

  #giveUp(
    { id }: WaitingRequest,
    reason: string,
    expectedMs: number,
    outlook: Outlook,
  ): void {
    const call = this.#calls.get(id);
    if (call !== undefined) {
      this.#drop(call);
      this.#refuse(call, TURN_OUTCOMES.givenUp, reason, expectedMs, outlook);
    }
  }

  #refuse(
    call: WaitingCall,
    outcome: TurnOutcome,
    reason: string,
    expectedMs: number,
    outlook: Outlook,
  ): void {
    const { view, draw } = this.#parts;
    const nowMs = view.readNowMs();
    this.#overload = recordOverload(this.#overload, nowMs);
    const overloadMs = estimateOverloadMs(this.#overload, nowMs);
    const { inMs, plan } = planReturn(this.#returns, {
      expectedMs: Math.max(expectedMs, overloadMs),
      maxReturnMs: call.request.maxReturnMs,
      pace: outlook.pace,
      nowMs,
      drawn: draw(),
    });
    this.#returns = plan;
    this.#record(call, outcome, { outlook, reason, expectedMs, inMs });
    call.events.onRefused({ reason, returnInMs: inMs });
  }

  #end(call: WaitingCall): void {
    const { request, state } = call;
    switch (state) {
      case "waiting":
        this.#drop(call);
        this.#record(call, TURN_OUTCOMES.left, { outlook: this.#look() });
        return;
      case "started":
        call.state = "over";
        this.#countInFlight(request.customer, -1);
        return;
      case "over":
        return;
      default:
        assertNever(state);
    }
  }

  #drop(call: WaitingCall): void {
    const { request } = call;
    call.state = "over";
    this.#calls.delete(request.id);
    this.#room = dropWaiting(this.#room, request);
  }

  /** Counts the requests that came lately and were not refused. */
  #countArrivals(nowMs: number): number {
    const sinceMs = nowMs - WAITING.ARRIVAL_WINDOW_MS;
    this.#arrivals = this.#arrivals.filter((atMs) => atMs > sinceMs);
    return this.#arrivals.length;
  }

  #countInFlight(customer: string, delta: number): void {
    const count = (this.#inFlight.get(customer) ?? 0) + delta;
    if (count > 0) {
      this.#inFlight.set(customer, count);
    } else {
      this.#inFlight.delete(customer);
    }
  }

  /** `asking` is the customer of a request that has just come. */
  #look(asking?: string): Outlook {
    const own = new Map(this.demand);
    if (asking !== undefined) {
      own.set(asking, (own.get(asking) ?? 0) + 1);
    }
    const nowMs = this.#parts.view.readNowMs();
    return estimateOutlook(this.#fleet.read(), {
      own,
      inFlight: [...this.#inFlight.values()].reduce((x, y) => x + y, 0),
      ownPerMs: this.#countArrivals(nowMs) / WAITING.ARRIVAL_WINDOW_MS,
      meanServiceMs: this.#parts.view.load.getMeanServiceTimeMs(this.#service),
    });
  }

  #record(
    { request, cameMs }: WaitingCall,
    outcome: TurnOutcome,
    about: {
      readonly outlook: Outlook;
      readonly reason?: string;
      readonly expectedMs?: number;
      readonly inMs?: number;
    },
  ): void {
    const { outlook, reason, expectedMs, inMs } = about;
    const { slots, pace } = outlook;
    this.#log.record(outcome, () => ({
      requestId: request.requestId,
      customer: request.customer,
      service: this.#service,
      reason,
      tokens: request.costTokens,
      isReturned: request.isReturned ? 1 : 0,
      waitedMs: Math.round(this.#parts.view.readNowMs() - cameMs),
      expectedMs: expectedMs && Math.round(expectedMs),
      returnInMs: inMs && Math.round(inMs),
      waiting: this.#room.count,
      inFlight: pace.inFlight,
      share: Math.round(pace.share * 10) / 10,
      slots,
      meanServiceMs: Math.round(pace.meanServiceMs),
    }));
  }
}
