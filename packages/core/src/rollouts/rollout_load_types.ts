/** A roll-out that is played in virtual time, for tests. */
import type { RolloutStep } from "./types.ts";

/** One request of the load. */
export type LoadRequest = {
  readonly isNew: boolean;
  /** Number among the new version's requests, from 1; 0 at the old version. */
  readonly newRun: number;
  readonly route: string;
  readonly upstream: number;
  /** Time since the order, in ms. */
  readonly atMs: number;
  /** Share of requests that the new version gets now. */
  readonly share: number;
};

export type LoadAnswer = {
  readonly failed?: boolean;
  readonly broken?: boolean;
  readonly slow?: boolean;
};

/** Who decides: the product, or a ramp in ten steps as a baseline. */
export type LoadPolicy = "product" | "fixed-ramp" | "error-rate-ramp";

/** A simulated service, its instances, and how its upstreams answer. */
export type RolloutLoad = {
  readonly policy?: LoadPolicy;
  readonly seed: number;
  readonly instances: number;
  readonly perSecond: number;
  readonly durationMs: number;
  /** Upstreams of each version. */
  readonly upstreams: number;
  /** Delay of news between instances, in ms. */
  readonly newsMs: number;
  /** Part of the messages that are lost. */
  readonly lost: number;
  /** Part of the requests that comes on the rarer one of two routes. */
  readonly rareShare: number;
  readonly answer: (request: LoadRequest, draw: number) => LoadAnswer;
};

export type LoadResult = {
  readonly step: RolloutStep;
  readonly endMs: number;
  readonly sentNew: number;
  readonly total: number;
  /** What the bound allows. */
  readonly allowed: number;
  /** Time from the 50th bad answer to the last request; 0 if there is none. */
  readonly afterFiftiethMs: number;
};
