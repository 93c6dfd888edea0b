/** Settings of a gateway process. */
import type { Duty, RampLimit, RolloutBounds } from "@gooseberryline/core";

/** An address to listen on. */
export type Endpoint = { readonly host: string; readonly port: number };

export type GatewaySettings = {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly duty: Duty;
  /** IP address at which peers reach this instance. */
  readonly host: string;
  /** UDP port for load messages. */
  readonly peerPort: number;
  /** TCP port on which store calls of peers are relayed. */
  readonly relayPort: number;
  /**
   * Endpoint for callers' requests; undefined on instances that only run batch
   * items.
   */
  readonly callers: Endpoint | undefined;
  readonly readiness: Endpoint | undefined;
  readonly metrics: Endpoint | undefined;
  /** Time from the stop signal until the process is killed, in ms. */
  readonly graceMs: number;
  /** Memory that the process may use, in MB. */
  readonly memoryMb?: number | undefined;
  /** Descriptors that the process may have. */
  readonly maxFds?: number | undefined;
  /** Whether the whole system starts for the first time. */
  readonly isFirstStart: boolean;
  /** Number of requests that a window may contain beyond a customer's limit. */
  readonly quotaSlack: number;
  /**
   * Limits on the requests that a cold upstream may receive beyond its rate.
   */
  readonly ramp: Omit<RampLimit, "perSecond">;
  /** Bounds of roll-outs; undefined where the platform has none. */
  readonly rollouts?: RolloutBounds | undefined;
  /**
   * Whether requests wait at the instance for room at upstreams; otherwise they
   * wait in the upstreams' own queues.
   */
  readonly queueAtInstances?: boolean;
  /**
   * Wait of a caller that a kilobyte between data centres is worth, in ms; if it
   * is left out, the bytes are not weighed.
   */
  readonly crossingMsPerKb?: number | undefined;
};
