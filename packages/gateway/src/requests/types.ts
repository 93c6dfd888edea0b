/** A caller's request on its way through the gateway. */
import type { IncomingHttpHeaders } from "node:http";
import type { Route, RouteCustomer } from "@gooseberryline/core";
import type { CallHead } from "../dialect/types.ts";
import type { ExchangeHead } from "../exchange/types.ts";

/** An admitted request. */
export type AdmittedCall = {
  readonly head: CallHead;
  readonly route: Route;
  readonly service: string;
  /** Undefined on a route open to all. */
  readonly customer: RouteCustomer | undefined;
  readonly method: string;
  readonly path: string;
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** When its head was read, on the steady clock. */
  readonly receivedMs: number;
};

/** An error of our own, with whether the request may have run. */
export type CallError = {
  readonly status: number;
  readonly code: string;
  readonly message: string;
  readonly run: "not run" | "may have run";
  /** When the caller may come back, in ms. */
  readonly retryAfterMs?: number;
};

/** Where a request's answer goes. */
export type CallReply = {
  /** False once the caller has left. */
  readonly isOpen: () => boolean;
  readonly sendFault: (fault: CallError) => void;
  /** Sends a whole answer of an upstream. */
  readonly sendWhole: (head: ExchangeHead, body: Buffer) => void;
  readonly beginStream: (head: ExchangeHead) => void;
  /** False while the caller has no room; `onRoom` is called once it has. */
  readonly writeStream: (bytes: Buffer, onRoom: () => void) => boolean;
  readonly endStream: () => void;
  /** Closes the connection, so that the answer can't look whole. */
  readonly breakOff: () => void;
};

/** Fields of a log line about a request. */
export type RequestFields = Readonly<
  Record<string, string | number | undefined>
>;
