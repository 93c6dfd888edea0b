/** Actions and results of randomised runs, as plain data for replays. */
import type { JobSpec } from "@gooseberryline/core";

/** One action on the fleet; indices are taken modulo the number of targets. */
export type SoakAction =
  | { readonly kind: "wait"; readonly ms: number }
  | {
      readonly kind: "requests";
      readonly customer: number;
      readonly profile: "counter" | "charge";
      readonly count: number;
    }
  | { readonly kind: "kill"; readonly instance: number }
  | { readonly kind: "restart" }
  | { readonly kind: "pause"; readonly instance: number; readonly ms: number }
  | { readonly kind: "stop"; readonly instance: number }
  | { readonly kind: "cut-instance"; readonly instance: number }
  | { readonly kind: "cut-data-centre"; readonly dataCentre: number }
  | { readonly kind: "cut-platform"; readonly dataCentre: number }
  | { readonly kind: "heal" }
  | { readonly kind: "loss"; readonly share: number }
  | { readonly kind: "store-down"; readonly ms: number }
  | { readonly kind: "store-slow"; readonly delayMs: number }
  | { readonly kind: "store-loses-answers"; readonly count: number }
  | { readonly kind: "engine-cold"; readonly engine: number }
  | {
      readonly kind: "engine-silent";
      readonly engine: number;
      readonly ms: number;
    }
  | {
      readonly kind: "engine-down";
      readonly engine: number;
      readonly ms: number;
    }
  | { readonly kind: "engine-cuts"; readonly engine: number }
  | {
      readonly kind: "data-centre";
      readonly dataCentre: number;
      readonly state: "in" | "out";
    }
  | {
      readonly kind: "rate";
      readonly customer: number;
      readonly rate: number;
    }
  | { readonly kind: "withdraw-key"; readonly customer: number }
  | {
      readonly kind: "job";
      readonly customer: number;
      readonly items: number;
      readonly isIdempotent: boolean;
      readonly instance: number;
    }
  | { readonly kind: "resend-job"; readonly job: number }
  | { readonly kind: "cancel-job"; readonly job: number };

/** A job offered during a run. */
export type SoakJob = {
  readonly spec: JobSpec;
  readonly isCancelled: boolean;
};

/** Outcome of a run. */
export type SoakVerdict =
  | { readonly kind: "held"; readonly counts: SoakCounts }
  | { readonly kind: "broken"; readonly message: string };

export type SoakCounts = {
  readonly requests: number;
  readonly answered: number;
  readonly refused: number;
  readonly lost: number;
  readonly runs: number;
  readonly jobs: number;
  /** Number of invariant checks that the core performed. */
  readonly checks: number;
};
