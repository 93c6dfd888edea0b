/** The fault matrix: every fault at every step of every state chart. */
import type { AttemptId, InstanceId, UpstreamId } from "@gooseberryline/core";
import type { SoakFleet } from "../soak/soak_fleet.ts";

/** Location of the subject, which faults are applied to. */
export type FaultTarget = {
  readonly instanceId: InstanceId;
  readonly upstreamId: UpstreamId | undefined;
  readonly attemptId: AttemptId | undefined;
};

/** A fault, and how it is applied and ended. */
export type MatrixFault = {
  readonly name: string;
  /** Whether a request that is already running must still be answered. */
  readonly shouldAnswerRunning: boolean;
  readonly startFault: (fleet: SoakFleet, target: FaultTarget) => void;
  readonly endFault: (fleet: SoakFleet, target: FaultTarget) => void;
};

/** Starts a subject in a way that leads it through some of its steps. */
export type Scenario = {
  readonly name: string;
  readonly start: (fleet: SoakFleet) => void;
};

/** A piece of work that follows the steps of one state chart. */
export type Subject = {
  readonly name: string;
  /** State chart whose states are the steps. */
  readonly chart: string;
  readonly scenarios: readonly Scenario[];
  /** Steps of the chart that this subject never enters. */
  readonly absentSteps?: readonly string[];
  /**
   * Successful end that the subject must reach from these steps under faults
   * with `shouldAnswerRunning`.
   */
  readonly requiredEnd?: {
    readonly steps: readonly string[];
    readonly isReached: (fleet: SoakFleet) => boolean;
  };
  /** Reads the current step, or undefined while the subject does not exist. */
  readonly readStep: (fleet: SoakFleet) => string | undefined;
  readonly locate: (fleet: SoakFleet) => FaultTarget;
  /** Lists the guarantees that are violated once the fleet has settled. */
  readonly listFaults: (fleet: SoakFleet) => readonly string[];
};

/** One cell: a subject at a step, with faults applied one after the other. */
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
