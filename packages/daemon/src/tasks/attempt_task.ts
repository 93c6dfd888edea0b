import type { AttemptId, Fault, InstanceEvent } from "@gooseberryline/core";
import type { AttemptOrder } from "./types.ts";
import { UpstreamAttempt } from "./upstream_attempt.ts";
import { UpstreamPool } from "./upstream_pool.ts";

/** Makes attempts: owns the connections to upstreams. */
export class AttemptTask {
  readonly #post: (event: InstanceEvent) => void;
  readonly #pool = new UpstreamPool();
  readonly #running = new Map<AttemptId, UpstreamAttempt>();

  constructor(post: (event: InstanceEvent) => void) {
    this.#post = post;
  }

  start(order: AttemptOrder): void {
    const { attemptId } = order;
    const attempt = new UpstreamAttempt(order, {
      pool: this.#pool,
      onFirstToken: (seen) => {
        this.#post({ kind: "attempt-first-token", attemptId, ...seen });
      },
      onEnd: (outcome, seen) => {
        this.#running.delete(attemptId);
        this.#post({ kind: "attempt-ended", attemptId, outcome, ...seen });
      },
    });
    this.#running.set(attemptId, attempt);
  }

  /** Ends an attempt; its connection is closed, nothing more is told. */
  cancel(attemptId: AttemptId, isSilent = false): void {
    const attempt = this.#running.get(attemptId);
    this.#running.delete(attemptId);
    attempt?.cancel(isSilent);
  }

  /** Ends an attempt that could not be made: nothing was sent. */
  refuse(attemptId: AttemptId, fault: Fault): void {
    const outcome = { kind: "not-started", fault } as const;
    this.#post({ kind: "attempt-ended", attemptId, outcome });
  }

  /** Closes the pooled connections. */
  stop(): void {
    this.#pool.stop();
  }
}
