import type { UpstreamEntry } from "@gooseberryline/core";
import {
  chooseUpstream,
  drawRetryAfterMs,
  type FleetView,
  ReturnedCalls,
  type TurnParts,
  WaitingRooms,
} from "@gooseberryline/gateway";
import type { VirtualFleet } from "../placing_at_size/virtual_fleet.ts";
import type { CallTally } from "./call_tally.ts";
import { type Call, WAYS, type WaitingOptions } from "./types.ts";
import { VirtualTry } from "./virtual_try.ts";

const LULL_MS = 3_400;
const PERIOD_MS = 5_800;
const HOT_FROM_MS = 8_700;
const CUSTOMERS = 74;
const LARGE_CUSTOMERS = 5;
const HOT = "c0";
const PROMPTS = 1_400;
const OBJECTIVE_MS = 303;
const DEADLINE_MS = 5_000;
/** Time from a slot to the first event. */
const PREFILL_MS = 60;
const TOKENS = 470;
const MIN_RUN_MS = 450;
const RUN_SPREAD_MS = 500;
/** Part of the requests that are large, and how many times as large. */
const LARGE_PART = 0.1;
const LARGE_FACTOR = 2.5;
/** Part of the callers that leave early unless they hear something. */
const LEAVING_PART = 0.05;
const LEAVE_SPREAD_MS = 400;
/** Part of its time left for which a caller waits to come again. */
const RETURN_PART = 1 / 3;
const SILENT_LOG = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
};

/** Serves callers of a fleet with too little room, in one of the ways. */
export class VirtualCallServer {
  readonly #fleet: VirtualFleet;
  readonly #view: FleetView;
  readonly #options: WaitingOptions;
  readonly #tally: CallTally;
  readonly #servers: readonly VirtualCallServer[];
  readonly #turns: TurnParts | undefined;

  constructor(
    fleet: VirtualFleet,
    view: FleetView,
    options: WaitingOptions,
    tally: CallTally,
    servers: readonly VirtualCallServer[],
  ) {
    this.#fleet = fleet;
    this.#view = view;
    this.#options = options;
    this.#tally = tally;
    this.#servers = servers;
    if (options.way === WAYS.room) {
      const rooms = new WaitingRooms({
        view,
        log: SILENT_LOG,
        onOutcome: () => undefined,
        runLater: (delayMs, step) => fleet.clock.startTimer(delayMs, step),
        draw: () => fleet.draw(),
      });
      view.onPeerLoad = () => rooms.lookSoon();
      this.#turns = {
        rooms,
        returned: new ReturnedCalls(),
        readNowMs: () => fleet.clock.nowMs,
        isOverRate: () => false,
        getMeanServiceTimeMs: (name) => view.load.getMeanServiceTimeMs(name),
      };
    }
  }

  /** Lets the callers of this instance come, one after the other. */
  start(): void {
    const { clock } = this.#fleet;
    const { lullRate, burstRate, upstreams, edges, hotFactor } = this.#options;
    const isBurst = clock.nowMs % PERIOD_MS >= LULL_MS;
    const isHot = clock.nowMs >= HOT_FROM_MS;
    const usual = ((isBurst ? burstRate : lullRate) * upstreams) / edges;
    const hotRate = (usual * (hotFactor - 1)) / (CUSTOMERS / 2);
    const rate = usual + (isHot ? hotRate : 0);
    clock.startTimer(this.#fleet.drawGapMs(rate), () => {
      const isOfHot = this.#fleet.draw() * rate > usual;
      this.accept(this.#drawCall(isOfHot ? HOT : this.#drawCustomer()));
      this.start();
    });
  }

  /** A few customers send half of all. */
  #drawCustomer(): string {
    const isLarge = this.#fleet.draw() < 0.5;
    const count = isLarge ? LARGE_CUSTOMERS : CUSTOMERS - LARGE_CUSTOMERS;
    const n = Math.floor(this.#fleet.draw() * count);
    return `c${isLarge ? n + 1 : (n + LARGE_CUSTOMERS + 1) % CUSTOMERS}`;
  }

  #drawCall(customer: string): Call {
    const { nowMs } = this.#fleet.clock;
    const size = this.#fleet.draw() < LARGE_PART ? LARGE_FACTOR : 1;
    const runMs = MIN_RUN_MS + this.#fleet.draw() * RUN_SPREAD_MS;
    return {
      customer,
      tokens: TOKENS * size,
      runMs: runMs * size,
      prompt: `p${Math.floor(this.#fleet.draw() * PROMPTS)}`,
      receivedMs: nowMs,
      deadlineMs: nowMs + DEADLINE_MS,
      refusals: 0,
    };
  }

  /** Takes a caller's request, that of a caller who comes again as well. */
  accept(call: Call): void {
    const { clock } = this.#fleet;
    if (call.refusals === 0) {
      this.#tally.record(call, "calls");
    }
    const attempt = new VirtualTry(call, this.#tally);
    clock.startTimer(call.deadlineMs - clock.nowMs, () =>
      attempt.end("failed"),
    );
    if (this.#fleet.draw() < LEAVING_PART) {
      const spreadMs = this.#fleet.draw() * LEAVE_SPREAD_MS;
      clock.startTimer(PREFILL_MS + spreadMs, () => attempt.end("left"));
    }
    const { customer, tokens, receivedMs, deadlineMs } = call;
    const order = {
      service: "s",
      receivedMs,
      head: {
        requestId: undefined,
        tokens: { prompt: tokens, output: 0 },
        deadlineMs: deadlineMs - receivedMs,
      },
      route: { name: "r", timeoutMs: DEADLINE_MS, objectiveMs: OBJECTIVE_MS },
      customer: { name: customer, keys: [], ratePerSecond: 0, burst: 0 },
      body: { length: tokens },
    };
    attempt.turn.request(order, this.#turns, {
      admit: () => true,
      onTurn: () => this.#place(attempt),
      onRefused: ({ retryAfterMs = 0 }) => this.#refuse(attempt, retryAfterMs),
    });
  }

  #place(attempt: VirtualTry): void {
    const { receivedMs, prompt, deadlineMs } = attempt.call;
    const placement = chooseUpstream(
      this.#view,
      {
        service: "s",
        path: "/",
        head: { affinityKey: prompt, requestId: undefined },
        route: { name: "r", objectiveMs: OBJECTIVE_MS },
        receivedMs,
      },
      {
        tried: new Set(),
        leftMs: deadlineMs - this.#fleet.clock.nowMs,
        origin: undefined,
      },
    );
    const { way } = this.#options;
    if (placement.kind !== "placed") {
      const freeInMs = placement.kind === "full" ? placement.freeInMs : 0;
      this.#refuse(attempt, drawRetryAfterMs(freeInMs, this.#fleet.draw()));
    } else if (way === WAYS.nowhere && placement.waitMs > 0) {
      const inMs = drawRetryAfterMs(placement.waitMs, this.#fleet.draw());
      this.#refuse(attempt, inMs);
    } else {
      this.#send(attempt, placement.upstream);
    }
  }

  #refuse(attempt: VirtualTry, returnInMs: number): void {
    const { clock } = this.#fleet;
    const { call } = attempt;
    this.#tally.record(call, "refusals");
    const leftMs = call.deadlineMs - clock.nowMs;
    if (call.refusals > 0 || returnInMs > leftMs * RETURN_PART) {
      attempt.end("failed");
      return;
    }
    attempt.end(undefined);
    clock.startTimer(returnInMs, () => {
      const index = Math.floor(this.#fleet.draw() * this.#servers.length);
      const receivedMs = clock.nowMs;
      const refusals = call.refusals + 1;
      this.#servers[index]?.accept({ ...call, receivedMs, refusals });
    });
  }

  #send(attempt: VirtualTry, entry: UpstreamEntry): void {
    const { clock, counts } = this.#fleet;
    const { call } = attempt;
    const { load } = this.#view;
    const upstream = this.#fleet.getUpstream(entry.id);
    counts.attempts += 1;
    counts.crowded += upstream.isFull() ? 1 : 0;
    this.#view.recordSend(entry, "online");
    const sentMs = clock.nowMs;
    const cancel = upstream.accept({
      runMs: call.runMs,
      onBegin: () => {
        const isOnTime =
          clock.nowMs + PREFILL_MS <= call.receivedMs + OBJECTIVE_MS;
        const inTime = call.refusals === 0 ? "onTime" : "returnedOnTime";
        attempt.begin(isOnTime ? inTime : "late");
      },
      onEnd: () => {
        load.recordEnd(entry.id, "online");
        load.recordServiceTime("s", clock.nowMs - sentMs);
        load.recordSuccess(entry.id);
        attempt.turn.end();
      },
    });
    attempt.cancelRun = () => {
      cancel();
      load.recordEnd(entry.id, "online");
    };
  }
}
