import {
  type AttemptEnd,
  decideNextStep,
  type NextStep,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { REQUESTS } from "./constants.ts";
import type { AdmittedCall, RequestFields } from "./types.ts";

/** Where a request has been, and what that leaves it to do. */
export class AttemptTracker {
  readonly #call: AdmittedCall;
  readonly #view: FleetView;
  readonly #offeredIds: string[] = [];
  readonly #failed = new Set<string>();
  #runs = 0;
  #waitMs = 0;
  #firstMs: number | undefined;

  constructor(call: AdmittedCall, view: FleetView) {
    this.#call = call;
    this.#view = view;
  }

  /** Upstreams that may have run it. */
  get runs(): number {
    return this.#runs;
  }

  /** Upstreams to pass over. */
  get failed(): ReadonlySet<string> {
    return this.#failed;
  }

  /** Notes an offer, with the wait that was expected there, in ms. */
  recordOffer(upstreamId: string, waitMs: number): void {
    this.#offeredIds.push(upstreamId);
    this.#waitMs = Math.round(waitMs);
  }

  /** Notes that the answer has begun. */
  recordFirstByte(): void {
    const nowMs = this.#view.readNowMs();
    this.#firstMs = Math.round(nowMs - this.#call.receivedMs);
  }

  /** The last upstream may have run it. */
  recordRun(): void {
    this.#runs += 1;
  }

  /** The last upstream is passed over from now on. */
  recordFailure(): void {
    const last = this.#offeredIds.at(-1);
    if (last !== undefined) {
      this.#failed.add(last);
    }
  }

  /** Time until the request's deadline, in ms. */
  computeRemainingMs(): number {
    const { head, route, receivedMs } = this.#call;
    const askedMs = head.deadlineMs ?? REQUESTS.DEFAULT_DEADLINE_MS;
    const endMs = receivedMs + Math.min(route.timeoutMs, askedMs);
    return Math.max(0, endMs - this.#view.readNowMs());
  }

  decideNextStep(end: AttemptEnd, hasBegun: boolean): NextStep {
    const leftMs = this.computeRemainingMs();
    const offers = this.#offeredIds.length;
    const progress = { runs: this.#runs, offers, hasBegun, leftMs };
    return decideNextStep(this.#call.route, progress, end);
  }

  /** Fields that each log line about the request bears. */
  describe(): RequestFields {
    const { head, route, customer } = this.#call;
    return {
      requestId: head.requestId,
      route: route.name,
      customer: customer?.name,
      upstreams: this.#offeredIds.join(" "),
      runs: this.#runs,
      waitMs: this.#waitMs,
      firstMs: this.#firstMs,
      revision: this.#view.table?.config.revision,
    };
  }
}
