/** Types of requests that instances pass on to each other. */
import type { IncomingHttpHeaders } from "node:http";
import type { StreamOrigin } from "@gooseberryline/core";

/** A caller's request as an instance passes it on to a peer. */
export type PassedRequest = {
  /** Name of its route, and the service that was chosen. */
  readonly route: string;
  readonly service: string;
  /** Name of the customer, who was admitted; undefined on a public route. */
  readonly customer?: string | undefined;
  readonly host: string;
  readonly method: string;
  readonly path: string;
  /** The caller's, without its key. */
  readonly headers: IncomingHttpHeaders;
  readonly body: Buffer;
  /** How often it may still run. */
  readonly attempts: number;
  /** Time since the request arrived, and until its deadline, in ms. */
  readonly spentMs: number;
  readonly leftMs: number;
  /** Id of the last event that the caller has received of the stream. */
  readonly lastEventId?: number | undefined;
  /** What began the stream; undefined unless it has begun. */
  readonly origin?: StreamOrigin | undefined;
};
