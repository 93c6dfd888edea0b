/** Messages between the daemon's tasks. */
import type { AttemptId, WorkId } from "@gooseberryline/core";

/** What an attempt sends to an upstream. */
export type AttemptCall = {
  readonly method: string;
  /** Path below the upstream's base URL, with the query if there is one. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  readonly isStream: boolean;
  /**
   * Set for plain services: their streams carry no end mark, and an answer of
   * theirs to a non-idempotent call is passed on whatever its status.
   */
  readonly isPlain?: boolean;
  /** False for a call that must not run twice; absent means true. */
  readonly isIdempotent?: boolean;
};

/** The head of an upstream's answer. */
export type AnswerHead = {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
};

/** Takes an answer as it arrives; `write` is false while it is full. */
export type AnswerSink = {
  readonly writeHead: (head: AnswerHead) => void;
  readonly write: (chunk: Buffer) => boolean;
  readonly waitForRoom: () => Promise<void>;
};

/** What an attempt sends, and where its answer goes. */
export type AttemptTarget = {
  readonly call: AttemptCall;
  readonly sink: AnswerSink;
};

/** An attempt to be made. */
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
  /** From now on each answer ends its connection. */
  readonly startDrain: () => void;
  /** Requests whose answers have not ended. */
  readonly countOpen: () => number;
  /** Stops listening; resolves when open answers ended, or at the limit. */
  readonly close: (limitMs: number) => Promise<void>;
};
