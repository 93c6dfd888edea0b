/** One request at one upstream. */
import type { IncomingHttpHeaders } from "node:http";

export type ExchangeOptions = {
  /** IP and port of the upstream. */
  readonly address: string;
  readonly method: string;
  /** Path and query as the caller sent them. */
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Buffer;
  /** Id that the answer has to repeat; undefined where none was sent. */
  readonly requestId: string | undefined;
  /** A request that may not run twice gets a connection of its own. */
  readonly isIdempotent: boolean;
  /** Longest wait for the head, in ms. */
  readonly headWithinMs: number;
  /**
   * Whether the upstream has sent anything to anyone lately. One that has is
   * only busy, and its head is awaited as long again.
   */
  readonly hasActivitySince?: (sinceMs: number) => boolean;
  /** Longest pause in the body, in ms. */
  readonly pauseWithinMs: number;
};

export type ExchangeHead = {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  /** Name, value, name, value: as they came. */
  readonly rawHeaders: readonly string[];
  readonly isEventStream: boolean;
};

export type ExchangeEnd =
  | { readonly kind: "unsent"; readonly reason: string }
  | { readonly kind: "unexecuted"; readonly status: number }
  /** The head and the whole body came. */
  | { readonly kind: "whole" }
  | {
      readonly kind: "lost";
      readonly reason: string;
      /** Nothing came for too long; the connection may have been dead. */
      readonly isSilent: boolean;
    };

export type ExchangeEvents = {
  readonly onHead: (head: ExchangeHead) => void;
  /** False where the receiver has no room: `resume` goes on. */
  readonly onChunk: (chunk: Buffer) => boolean;
  readonly onEnd: (end: ExchangeEnd) => void;
};
