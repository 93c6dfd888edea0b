/** Instances of the fleet, as they register and as they talk. */
import type { OpenWork } from "../placing/types.ts";

export const DUTIES = { serve: "serve", run: "run" } as const;

/** `serve`: takes callers' requests. `run`: runs the items of jobs. */
export type Duty = (typeof DUTIES)[keyof typeof DUTIES];

/** One start of an instance, as its record in the store says. */
export type FleetMember = {
  readonly id: string;
  readonly incarnation: string;
  readonly address: string;
  /** UDP port of load messages. */
  readonly port: number;
  /** TCP port at which it makes calls of the store for peers. */
  readonly relayPort: number;
  readonly dataCentre: string;
  readonly duty: Duty;
};

/** A customer's use, as one instance counts it. */
export type CustomerUse = {
  readonly admitted: number;
  /** The sender's view of the customer's one bucket. */
  readonly tokens: number;
};

/** What an instance tells its peers several times a second; may be lost. */
export type LoadMessage = {
  readonly from: string;
  readonly dataCentre: string;
  readonly duty: Duty;
  readonly incarnation: string;
  /** Time since the sender started, in ms. */
  readonly ageMs: number;
  /** Whether the store answers the sender itself. */
  readonly hasStore: boolean;
  /** Rises with each message of an incarnation. */
  readonly sequence: number;
  /** Work of the sender at each upstream. */
  readonly open: Readonly<Record<string, OpenWork>>;
  /** Items that wait for an upstream at the sender. */
  readonly waitingItems: number;
  /** Time since each upstream last sent the sender anything, in ms. */
  readonly quietMs: Readonly<Record<string, number>>;
  /** Upstreams that failed the sender lately. */
  readonly suspects: readonly string[];
  readonly use: Readonly<Record<string, CustomerUse>>;
  /** Listed instances that the sender does not hear itself. */
  readonly unheard: readonly string[];
  /** Store revision of the last change that the sender saw, by prefix. */
  readonly seen: Readonly<Record<string, number>>;
  /** Results that are listed of each job that the sender runs, or just ran. */
  readonly listed: Readonly<Record<string, number>>;
  /** Said once by an instance that stops. */
  readonly isLeaving: boolean;
};
