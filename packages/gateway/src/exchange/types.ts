/** Types of one request to one upstream. */
import type { IncomingHttpHeaders } from "node:http";
import type { ResponseHead } from "../dialect/types.ts";
import type { LastConnection } from "./last_connection.ts";

export type ExchangeOptions = {
  /** IP address and port of the upstream. */
  readonly address: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  /** Builds the headers; what it throws ends the exchange as unsent. */
  readonly buildHeaders: () => Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Request id that the response has to repeat; undefined if none was sent. */
  readonly requestId: string | undefined;
  /** Shared by all runs of the request; undefined if there is one run only. */
  readonly lastConnection?: LastConnection | undefined;
  /**
   * Whether the request may run twice; if not, it gets a connection of its own.
   */
  readonly isIdempotent: boolean;
  /** Timeout for the response head, in ms. */
  readonly headTimeoutMs: number;
  /**
   * Returns whether the upstream has sent data to any instance since `sinceMs`.
   * If so it is only busy, and the timeout for the head is extended once.
   */
  readonly hasActivitySince?: (sinceMs: number) => boolean;
  /** Timeout between chunks of the body, in ms. */
  readonly stallTimeoutMs: number;
  /**
   * Returns whether the upstream is about to end as planned, so that it may refuse
   * connections while it still completes answers. False by default.
   */
  readonly isLeaving?: () => boolean;
};

export type ExchangeHead = {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Alternating names and values, as received. */
  readonly rawHeaders: readonly string[];
  readonly isEventStream: boolean;
  /** Whether the body has neither length nor chunks and ends with its connection. */
  readonly isCloseDelimited: boolean;
};

export type ExchangeEnd =
  | {
      readonly kind: "unsent";
      readonly reason: string;
      /** Whether no message could be built, so that no upstream failed. */
      readonly isUnbuilt?: boolean;
    }
  | { readonly kind: "unexecuted"; readonly status: number }
  /** The head and the complete body arrived. */
  | { readonly kind: "whole" }
  | {
      readonly kind: "lost";
      readonly reason: string;
      /** Whether a timeout expired; the connection may have been dead. */
      readonly isSilent: boolean;
    };

/** How a connection has answered other runs of a request before, at best. */
export type EarlierAnswer = "none" | "failure" | "success";

/**
 * How a connection ended; `unexpected` if the answer's head names another end of its
 * body.
 */
export type AnswerClose = "in-order" | "reset" | "unexpected";

/**
 * Tells, once an answer has ended, how its connection did; undefined if that is not
 * what ended the answer.
 */
export type CloseWatch = () => Promise<AnswerClose> | undefined;

export type ExchangeEvents = {
  /** Called when a new connection has opened for this request. */
  readonly onConnect?: () => void;
  /** Called for each answer to this request, also if it was not executed. */
  readonly onAnswer?: (status: number, head: ResponseHead) => void;
  readonly onHead: (head: ExchangeHead) => void;
  /**
   * Returns false if the receiver's buffer is full; `resume` continues the
   * body.
   */
  readonly onChunk: (chunk: Buffer) => boolean;
  readonly onEnd: (end: ExchangeEnd) => void;
};
