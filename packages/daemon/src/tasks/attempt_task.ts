import type { AttemptId, InstanceEvent } from "@gooseberryline/core";
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
      onFirstToken: () => {
        this.#post({ kind: "attempt-first-token", attemptId });
      },
      onEnd: (outcome) => {
        this.#running.delete(attemptId);
        this.#post({ kind: "attempt-ended", attemptId, outcome });
      },
    });
    this.#running.set(attemptId, attempt);
  }

  /** Ends an attempt; its connection is closed, nothing more is told. */
  cancel(attemptId: AttemptId): void {
    const attempt = this.#running.get(attemptId);
    this.#running.delete(attemptId);
    attempt?.cancel();
  }

  /** Closes the pooled connections. */
  stop(): void {
    this.#pool.stop();
  }
}
