import { INVARIANTS } from "@gooseberryline/core";
import type { WorldOptions } from "@gooseberryline/fakes";
import { checkLedger } from "../soak/check_ledger.ts";
import { SoakFleet } from "../soak/soak_fleet.ts";
import type { Cell, CellVerdict, Scenario } from "./types.ts";

const SEED = 11;
const RATE = 100;
const BURST = 50;
const START_MS = 2_000;
const SEARCH_MS = 12_000;
const STRUCK_MS = 3_000;
const REST_MS = 40_000;
const STEP_MS = 1;

/** The first scenario that reaches a step: a fault strikes only after it. */
const reaching = new Map<string, Scenario>();

/** Runs a cell with the first scenario that reaches its step. */
export function runCell(cell: Cell, step?: WorldOptions["step"]): CellVerdict {
  INVARIANTS.shouldThrow = true;
  const name = `${cell.subject.name}/${cell.step}`;
  const known = step === undefined ? reaching.get(name) : undefined;
  const scenarios = known === undefined ? cell.subject.scenarios : [known];
  try {
    return scenarios.reduce<CellVerdict>(
      (before, scenario) => {
        if (before.kind !== "unreached") {
          return before;
        }
        const verdict = runScenario(cell, scenario, step);
        if (verdict.kind === "held" && step === undefined) {
          reaching.set(name, scenario);
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
  stepWith: WorldOptions["step"],
): CellVerdict {
  const fleet = new SoakFleet({
    seed: SEED,
    step: stepWith,
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
    const place = subject.locate(fleet);
    fault.strike(fleet, place);
    fleet.world.runFor(STRUCK_MS);
    fault.mend(fleet, place);
  });
  fleet.settle(REST_MS);
  const [promise] = checkLedger(fleet.world.ledger);
  const isOwed =
    subject.owed?.steps.includes(step) === true &&
    faults.every(({ isSparing }) => isSparing) &&
    scenario === subject.scenarios[0];
  const own =
    isOwed && subject.owed?.isFulfilled(fleet) !== true
      ? "it was cut off by a fault that spares what runs"
      : subject.listFaults(fleet).at(0);
  const message =
    promise === undefined ? own : `${promise.promise}: ${promise.detail}`;
  return message === undefined
    ? { kind: "held", scenario: scenario.name }
    : { kind: "broken", message: `${scenario.name}: ${message}` };
}

function runUntil(fleet: SoakFleet, isTrue: () => boolean): boolean {
  const endsMs = fleet.world.nowMs + SEARCH_MS;
  while (fleet.world.nowMs < endsMs) {
    if (isTrue()) {
      return true;
    }
    fleet.world.runFor(STEP_MS);
  }
  return false;
}
