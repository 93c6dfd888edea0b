import { INVARIANTS } from "@gooseberryline/core";
import type { WorldOptions } from "@gooseberryline/fakes";
import { checkLedger } from "../soak/check_ledger.ts";
import { SoakFleet } from "../soak/soak_fleet.ts";
import type { Cell, CellVerdict, Scenario } from "./types.ts";

const SEED = 11;
const RATE = 100;
const BURST = 50;
const START_MS = 2_000;
const REACH_LIMIT_MS = 12_000;
const FAULT_MS = 3_000;
const REST_MS = 40_000;
const POLL_MS = 1;

/**
 * First scenario that reaches each step. It can be reused for other faults,
 * since they are applied only after the step is reached.
 */
const reachingScenarios = new Map<string, Scenario>();

/** Runs a cell with the first scenario that reaches its step. */
export function runCell(cell: Cell, step?: WorldOptions["step"]): CellVerdict {
  INVARIANTS.shouldThrow = true;
  const name = `${cell.subject.name}/${cell.step}`;
  const knownScenario =
    step === undefined ? reachingScenarios.get(name) : undefined;
  const scenarios =
    knownScenario === undefined ? cell.subject.scenarios : [knownScenario];
  try {
    return scenarios.reduce<CellVerdict>(
      (previous, scenario) => {
        if (previous.kind !== "unreached") {
          return previous;
        }
        const verdict = runScenario(cell, scenario, step);
        if (verdict.kind === "held" && step === undefined) {
          reachingScenarios.set(name, scenario);
        }
        return verdict;
      },
      { kind: "unreached" },
    );
  } catch (error) {
    return { kind: "broken", message: (error as Error).message };
  }
}

function runScenario(
  { subject, step, faults }: Cell,
  scenario: Scenario,
  coreStep: WorldOptions["step"],
): CellVerdict {
  const fleet = new SoakFleet({
    seed: SEED,
    step: coreStep,
    rate: RATE,
    burst: BURST,
  });
  fleet.world.runFor(START_MS);
  scenario.start(fleet);
  const isReached = runUntil(fleet, () => subject.readStep(fleet) === step);
  if (!isReached) {
    return { kind: "unreached" };
  }
  faults.forEach((fault) => {
    const target = subject.locate(fleet);
    fault.startFault(fleet, target);
    fleet.world.runFor(FAULT_MS);
    fault.endFault(fleet, target);
  });
  fleet.settle(REST_MS);
  const [violation] = checkLedger(fleet.world.ledger);
  const isEndRequired =
    subject.requiredEnd?.steps.includes(step) === true &&
    faults.every(({ shouldAnswerRunning }) => shouldAnswerRunning) &&
    scenario === subject.scenarios[0];
  const subjectFault =
    isEndRequired && subject.requiredEnd?.isReached(fleet) !== true
      ? "the running request was not answered despite a non-disruptive fault"
      : subject.listFaults(fleet).at(0);
  const message =
    violation === undefined
      ? subjectFault
      : `${violation.guarantee}: ${violation.detail}`;
  return message === undefined
    ? { kind: "held", scenario: scenario.name }
    : { kind: "broken", message: `${scenario.name}: ${message}` };
}

function runUntil(fleet: SoakFleet, holdsCondition: () => boolean): boolean {
  const deadlineMs = fleet.world.nowMs + REACH_LIMIT_MS;
  while (fleet.world.nowMs < deadlineMs) {
    if (holdsCondition()) {
      return true;
    }
    fleet.world.runFor(POLL_MS);
  }
  return false;
}
