/** Settings of a gateway process. */
import type { Duty, RampLimit } from "@gooseberryline/core";

/** An address to listen on. */
export type Endpoint = { readonly host: string; readonly port: number };

export type GatewaySettings = {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly duty: Duty;
  /** Own IP, at which peers reach it. */
  readonly host: string;
  /** UDP port of load messages. */
  readonly peerPort: number;
  /** TCP port of calls of the store for peers. */
  readonly relayPort: number;
  /** Callers' requests; absent on instances that only run items. */
  readonly callers: Endpoint | undefined;
  readonly readiness: Endpoint | undefined;
  readonly metrics: Endpoint | undefined;
  /** From the signal to stop until the process is killed, in ms. */
  readonly graceMs: number;
  /** Requests that a window may hold beyond a customer's limit. */
  readonly quotaSlack: number;
  /** What a cold upstream may be sent beyond its rate. */
  readonly ramp: Omit<RampLimit, "perSecond">;
};
