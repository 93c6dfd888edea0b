/** Registration records of instances and the load messages between them. */
import type { CrashNews } from "../crashes/types.ts";
import type { InFlightWork } from "../placing/types.ts";
import type { RolloutNews } from "../rollouts/types.ts";
import type { SpeedNews } from "../speeds/types.ts";
import type { LimitNews } from "../upstream_limits/types.ts";

export const DUTIES = { serve: "serve", run: "run" } as const;

/** Role of an instance: `serve` handles requests; `run` runs job items. */
export type Duty = (typeof DUTIES)[keyof typeof DUTIES];

/** Registration record of one instance process in the store. */
export type FleetMember = {
  readonly id: string;
  readonly incarnation: string;
  readonly address: string;
  /** UDP port for load messages. */
  readonly port: number;
  /** TCP port at which it relays store calls for peers. */
  readonly relayPort: number;
  readonly dataCentre: string;
  readonly duty: Duty;
};

/** A customer's usage, as counted by one instance. */
export type CustomerUsage = {
  readonly admitted: number;
  /** The sender's estimate of the customer's fleet-wide token bucket. */
  readonly tokens: number;
  /** Requests that come to the sender a second; earlier builds don't tell. */
  readonly askedPerSecond?: number | undefined;
};

/** A process of an upstream that said in an answer that it is about to end. */
export type LeavingUpstream = {
  readonly id: string;
  /** As in its registration; undefined if not told. */
  readonly bornMs?: number | undefined;
};

/** Requests in flight and waiting at an instance, by service and customer. */
export type DemandNews = Readonly<
  Record<string, Readonly<Record<string, number>>>
>;

/** Sent to all peers several times per second; may be lost in transit. */
export type LoadMessage = {
  readonly from: string;
  /** The sender's IP address; earlier builds leave it out. */
  readonly address?: string | undefined;
  readonly dataCentre: string;
  readonly duty: Duty;
  readonly incarnation: string;
  /** Time since the sender started, in ms. */
  readonly ageMs: number;
  /** Whether the sender reaches the store directly. */
  readonly hasStore: boolean;
  /** Increases with each message of an incarnation. */
  readonly sequence: number;
  /** The sender's work in flight, by upstream. */
  readonly open: Readonly<Record<string, InFlightWork>>;
  /** Items that wait at the sender for an upstream. */
  readonly waitingItems: number;
  /** Services for which items wait there; earlier builds leave it out. */
  readonly waitingServices?: readonly string[] | undefined;
  /** Time since the sender last received data from each upstream, in ms. */
  readonly quietMs: Readonly<Record<string, number>>;
  /** Upstreams that recently failed requests of the sender. */
  readonly suspects: readonly string[];
  readonly use: Readonly<Record<string, CustomerUsage>>;
  /** Listed instances that the sender receives no messages from directly. */
  readonly unheard: readonly string[];
  /** Store revision of the last change received by the sender, by prefix. */
  readonly seen: Readonly<Record<string, number>>;
  /** Number of listed results, by job that the sender runs or ran recently. */
  readonly listed: Readonly<Record<string, number>>;
  /** By upstream that names a limit; left out as `crashes` is. */
  readonly limits?: Readonly<Record<string, LimitNews>> | undefined;
  /** Left out if there are none, and by earlier builds. */
  readonly leaving?: readonly LeavingUpstream[] | undefined;
  /** Left out if there is none, and by earlier builds. */
  readonly crashes?: CrashNews | undefined;
  /** By service; left out as `crashes` is. */
  readonly rollouts?: Readonly<Record<string, RolloutNews>> | undefined;
  /** Left out if there is nothing noticeable, and by earlier builds. */
  readonly speeds?: SpeedNews | undefined;
  /**
   * Whether the sender reaches upstreams and serves requests of peers that don't;
   * earlier builds leave it out.
   */
  readonly isTaking?: boolean | undefined;
  /** Left out where requests don't wait at instances, and by earlier builds. */
  readonly demand?: DemandNews | undefined;
  /** Set in the one message that an instance sends on shutdown. */
  readonly isLeaving: boolean;
  /** Set if peers must learn what it says at once; earlier builds leave it out. */
  readonly isUrgent?: boolean | undefined;
};

/**
 * Sent to the instances of the own data centre between load messages, where those
 * are rare; earlier builds don't read it. May be lost in transit.
 */
export type WorkMessage = {
  readonly kind: "work";
  readonly from: string;
  readonly incarnation: string;
  /** Increases with each message of an incarnation, load messages included. */
  readonly sequence: number;
  /** The sender's work in flight, by upstream. */
  readonly open: LoadMessage["open"];
  readonly demand?: DemandNews | undefined;
};
