import {
  ATTEMPTS,
  type AttemptEnd,
  type CrashBlock,
  decideNextStep,
  type NextStep,
} from "@gooseberryline/core";
import { LastConnection } from "../exchange/last_connection.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { PASSING } from "../passing/constants.ts";
import { computeTimeLimitMs } from "./compute_time_limit_ms.ts";
import type { AdmittedCall, RequestFields } from "./types.ts";

const SERVER_ERROR = 500;

/** Tracks the attempts of a request and decides whether to retry it. */
export class AttemptTracker {
  /** Shared by the attempts at upstreams. */
  readonly lastConnection = new LastConnection();
  readonly #call: AdmittedCall;
  readonly #view: FleetView;
  readonly #attemptedIds: string[] = [];
  readonly #failed = new Set<string>();
  readonly #passedTo = new Set<string>();
  #unreached = 0;
  #runs = 0;
  #waitMs = 0;
  #firstMs: number | undefined;

  constructor(call: AdmittedCall, view: FleetView) {
    this.#call = call;
    this.#view = view;
  }

  /** Number of attempts that may have run the request. */
  get runs(): number {
    return this.#runs;
  }

  /**
   * Ids of upstreams that failed the request; they are tried again only if no
   * other accepts it.
   */
  get failed(): ReadonlySet<string> {
    return this.#failed;
  }

  /**
   * Records an attempt at an upstream, with the expected queue wait there, in
   * ms.
   */
  recordAttempt(upstreamId: string, waitMs: number): void {
    this.#attemptedIds.push(upstreamId);
    this.#waitMs = Math.round(waitMs);
  }

  /** Ids of the peers to which the request was passed on. */
  get passedTo(): ReadonlySet<string> {
    return this.#passedTo;
  }

  recordPass(peerId: string): void {
    this.#passedTo.add(peerId);
  }

  /** Whether several upstreams were not reached, and there is time for a peer. */
  hasNoPath(end: AttemptEnd, next: NextStep): boolean {
    return (
      (end.kind === "unsent" || next.kind === "retry") &&
      this.#unreached >= PASSING.MIN_UNREACHED &&
      this.computeRemainingMs() > ATTEMPTS.MIN_REMAINING_MS
    );
  }

  /** Records that an upstream was not reached. */
  recordUnreached(): void {
    this.#unreached += 1;
  }

  /** Records the time at which the response to the caller started. */
  recordFirstByte(): void {
    const nowMs = this.#view.readNowMs();
    this.#firstMs = Math.round(nowMs - this.#call.receivedMs);
  }

  /** Records that the last upstream may have run the request. */
  recordRun(): void {
    this.#runs += 1;
  }

  /** Records that the last upstream failed, so that others are preferred. */
  recordFailure(): void {
    const lastId = this.#attemptedIds.at(-1);
    if (lastId !== undefined) {
      this.#failed.add(lastId);
    }
  }

  /** Returns the time remaining until the request's deadline, in ms. */
  computeRemainingMs(): number {
    const { head, route, receivedMs } = this.#call;
    const endMs = receivedMs + computeTimeLimitMs(route, head);
    return Math.max(0, endMs - this.#view.readNowMs());
  }

  /** Returns the block that holds for the request, if any. */
  findBlock(): CrashBlock | undefined {
    const { head, customer, key } = this.#call;
    return this.#view.crashes.findBlock({
      parts: head.promptParts,
      customer: customer?.name ?? "",
      hasKey: (request) => key.matches(request),
    });
  }

  decideNextStep(end: AttemptEnd, hasStarted: boolean): NextStep {
    const leftMs = this.computeRemainingMs();
    const upstreamCount = this.#attemptedIds.length;
    const progress = {
      runs: this.#runs,
      upstreamsTried: upstreamCount,
      hasStarted,
      leftMs,
    };
    return decideNextStep(this.#call.route, progress, end);
  }

  /**
   * Says why an answer sends the request to another upstream; undefined if it is
   * for the caller. Nothing but events can follow events. A server error may be
   * specific to this upstream. Another one may do better in both cases.
   */
  findAnswerFault(status: number, hasStarted: boolean): AttemptEnd | undefined {
    const end = { kind: "lost", reason: `an answer of ${status}` } as const;
    const isRetryable = hasStarted || status >= SERVER_ERROR;
    return isRetryable && this.decideNextStep(end, hasStarted).kind === "retry"
      ? end
      : undefined;
  }

  /** Returns the fields included in each log event about the request. */
  describe(): RequestFields {
    const { head, route, customer } = this.#call;
    return {
      requestId: head.requestId,
      resumes: head.resumes,
      lastEventId: head.lastEventId,
      route: route.name,
      customer: customer?.name,
      upstreams: this.#attemptedIds.join(" "),
      passedTo:
        this.#passedTo.size === 0 ? undefined : [...this.#passedTo].join(" "),
      runs: this.#runs,
      waitMs: this.#waitMs,
      firstMs: this.#firstMs,
      revision: this.#view.table?.config.revision,
    };
  }
}
