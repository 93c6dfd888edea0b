import type { AttemptId, Fault, InstanceEvent } from "@gooseberryline/core";
import type { AttemptOrder } from "./types.ts";
import { UpstreamAttempt } from "./upstream_attempt.ts";
import { UpstreamPool } from "./upstream_pool.ts";

/** Runs attempts and owns the connection pool to upstreams. */
export class AttemptTask {
  readonly #post: (event: InstanceEvent) => void;
  readonly #pool = new UpstreamPool();
  readonly #running = new Map<AttemptId, UpstreamAttempt>();

  constructor(post: (event: InstanceEvent) => void) {
    this.#post = post;
  }

  /** Starts an attempt; one whose request can't be built ends as not started. */
  start(order: AttemptOrder): void {
    const { attemptId, upstreamId } = order;
    try {
      this.#running.set(attemptId, this.#open(order));
    } catch (error) {
      const message = error instanceof Error ? error.message : String(error);
      const fault = { code: "upstream_error", step: "connect" } as const;
      this.refuse(attemptId, { ...fault, peer: upstreamId, message });
    }
  }

  #open(order: AttemptOrder): UpstreamAttempt {
    const { attemptId } = order;
    return new UpstreamAttempt(order, {
      pool: this.#pool,
      onFirstToken: (upstreamInfo) => {
        this.#post({ kind: "attempt-first-token", attemptId, ...upstreamInfo });
      },
      onEnd: (outcome, upstreamInfo) => {
        this.#running.delete(attemptId);
        this.#post({
          kind: "attempt-ended",
          attemptId,
          outcome,
          ...upstreamInfo,
        });
      },
    });
  }

  /**
   * Cancels an attempt and closes its connection; no further event is posted
   * for it.
   */
  cancel(attemptId: AttemptId, isSilent = false): void {
    const attempt = this.#running.get(attemptId);
    this.#running.delete(attemptId);
    attempt?.cancel(isSilent);
  }

  /** Reports an attempt as not started, because nothing could be sent. */
  refuse(attemptId: AttemptId, fault: Fault): void {
    const outcome = { kind: "not-started", fault } as const;
    this.#post({ kind: "attempt-ended", attemptId, outcome });
  }

  /** Closes the pooled connections. */
  stop(): void {
    this.#pool.stop();
  }
}
