/** Types of a caller's request while the gateway serves it. */
import type { IncomingHttpHeaders } from "node:http";
import type { Route, RouteCustomer, StreamOrigin } from "@gooseberryline/core";
import type { RequestKey } from "../crashes/request_key.ts";
import type { CallHead } from "../dialect/types.ts";
import type { ExchangeHead } from "../exchange/types.ts";

/** A request whose route and API key have been checked. */
export type AdmittedCall = {
  readonly key: RequestKey;
  readonly head: CallHead;
  readonly route: Route;
  readonly service: string;
  /** Undefined on a public route. */
  readonly customer: RouteCustomer | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** When the request head was read, on the monotonic clock, in ms. */
  readonly receivedMs: number;
  /** What began the stream, if a peer that passes the request on knows it. */
  readonly origin?: StreamOrigin | undefined;
  /** Whether the customer has been admitted, as by a peer that passes it on. */
  readonly isAdmitted?: boolean;
};

/**
 * An error returned by the gateway itself; `run` says whether the request may
 * have run.
 */
export type CallError = {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly run: "not run" | "may have run";
  /** Delay after which the caller may retry, in ms. */
  readonly retryAfterMs?: number;
};

/** Writes the response to a caller. */
export type CallReply = {
  /** Returns false once the caller has disconnected. */
  readonly isConnected: () => boolean;
  readonly sendError: (fault: CallError) => void;
  /** Sends an upstream's complete response. */
  readonly sendResponse: (head: ExchangeHead, body: Buffer) => void;
  /** Calls back once the answer has been written out, or its caller has left. */
  readonly onWritten: (callback: () => void) => void;
  readonly startStream: (head: ExchangeHead) => void;
  /**
   * Returns false if the caller's buffer is full; `onDrain` is called once it
   * has drained.
   */
  readonly writeStream: (bytes: Buffer, onDrain: () => void) => boolean;
  readonly finishStream: () => void;
  /**
   * Closes the connection, so that a truncated response is not taken for a
   * complete one.
   */
  readonly closeConnection: () => void;
};

/** Fields of a log event about a request. */
export type RequestFields = Readonly<
  Record<string, string | number | boolean | undefined>
>;
