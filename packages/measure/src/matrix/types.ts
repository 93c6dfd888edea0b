/** The fault matrix: every fault at every step of every chart. */
import type { AttemptId, InstanceId, UpstreamId } from "@gooseberryline/core";
import type { SoakFleet } from "../soak/soak_fleet.ts";

/** Where the subject is, so that a fault can strike just there. */
export type Place = {
  readonly instanceId: InstanceId;
  readonly upstreamId: UpstreamId | undefined;
  readonly attemptId: AttemptId | undefined;
};

/** One thing that goes wrong, and how it ends. */
export type MatrixFault = {
  readonly name: string;
  /** Whether a request that runs already must be answered all the same. */
  readonly isSparing: boolean;
  readonly strike: (fleet: SoakFleet, place: Place) => void;
  readonly mend: (fleet: SoakFleet, place: Place) => void;
};

/** A way to bring a subject through some of its steps. */
export type Scenario = {
  readonly name: string;
  readonly start: (fleet: SoakFleet) => void;
};

/** What goes through the steps of one chart. */
export type Subject = {
  readonly name: string;
  /** Chart whose states are the steps. */
  readonly chart: string;
  readonly scenarios: readonly Scenario[];
  /** Steps of the chart that this subject never takes. */
  readonly absentSteps?: readonly string[];
  /** A good end that sparing faults must leave it, from these steps on. */
  readonly owed?: {
    readonly steps: readonly string[];
    readonly isFulfilled: (fleet: SoakFleet) => boolean;
  };
  /** The step it is at, or undefined while it does not exist. */
  readonly readStep: (fleet: SoakFleet) => string | undefined;
  readonly locate: (fleet: SoakFleet) => Place;
  /** What must hold of it once the fleet is at rest; empty when it does. */
  readonly listFaults: (fleet: SoakFleet) => readonly string[];
};

/** One cell: a subject at a step, struck by faults one after the other. */
export type Cell = {
  readonly subject: Subject;
  readonly step: string;
  readonly faults: readonly MatrixFault[];
};

export type CellVerdict =
  | { readonly kind: "held"; readonly scenario: string }
  /** No scenario reaches the step. */
  | { readonly kind: "unreached" }
  | { readonly kind: "broken"; readonly message: string };
