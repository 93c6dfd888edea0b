/** Types of the messages exchanged between the daemon's tasks. */
import type { AttemptId, WorkId } from "@gooseberryline/core";

/** The request that an attempt sends to an upstream. */
export type AttemptCall = {
  readonly method: string;
  /** Path relative to the upstream's base URL, including any query string. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly isStream: boolean;
  /**
   * Set for plain services. Their streams have no `[DONE]` marker, and their
   * answers to non-idempotent calls are relayed whatever the status.
   */
  readonly isPlain?: boolean;
  /** False for a call that must not run twice; defaults to true. */
  readonly isIdempotent?: boolean;
};

/** Status and headers of an upstream's answer. */
export type AnswerHead = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
};

/**
 * Receives an answer as it arrives; `write` returns false while the sink is
 * full.
 */
export type AnswerSink = {
  readonly writeHead: (head: AnswerHead) => void;
  readonly write: (chunk: Buffer) => boolean;
  readonly waitForDrain: () => Promise<void>;
};

/** The request of an attempt and the sink for its answer. */
export type AttemptTarget = {
  readonly call: AttemptCall;
  readonly sink: AnswerSink;
};

/** An attempt to start. */
export type AttemptOrder = {
  readonly attemptId: AttemptId;
  readonly workId: WorkId;
  readonly upstreamUrl: string;
  readonly upstreamId: string;
  readonly call: AttemptCall;
  readonly sink: AnswerSink;
};

/** A bound listener. */
export type Listener = {
  /** Address as `IP:port`. */
  readonly address: string;
  /**
   * Starts draining: from now on each connection is closed after its answer.
   */
  readonly startDrain: () => void;
  /** Returns the number of requests whose answers have not ended. */
  readonly countInFlight: () => number;
  /**
   * Stops listening; resolves when the answers in flight have ended, at the
   * latest after `limitMs`.
   */
  readonly close: (limitMs: number) => Promise<void>;
};
