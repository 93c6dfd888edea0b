import { INVARIANTS } from "@gooseberryline/core";
import type { WorldOptions } from "@gooseberryline/fakes";
import { checkLedger } from "./check_ledger.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { SoakAction, SoakCounts, SoakVerdict } from "./types.ts";

const REST_MS = 60_000;

/** Lets actions happen to a fleet and checks what must always hold. */
export function runActions(
  seed: number,
  actions: readonly SoakAction[],
  step?: WorldOptions["step"],
): SoakVerdict {
  const before = countChecks();
  INVARIANTS.shouldThrow = true;
  try {
    const fleet = new SoakFleet({ seed, step });
    actions.forEach((action) => {
      fleet.apply(action);
    });
    fleet.settle(REST_MS);
    const [fault] = checkLedger(fleet.world.ledger);
    if (fault !== undefined) {
      const message = `${fault.promise}: ${fault.detail}`;
      return { kind: "broken", message };
    }
    const counts = countEnds(fleet, countChecks() - before);
    return { kind: "held", counts };
  } catch (error) {
    return { kind: "broken", message: (error as Error).message };
  }
}

function countChecks(): number {
  return Object.values(INVARIANTS.checked).reduce((sum, n) => sum + n, 0);
}

function countEnds({ world }: SoakFleet, checks: number): SoakCounts {
  const { calls, runs } = world.ledger;
  const countKind = (kind: string): number =>
    calls.filter(({ end }) => end?.kind === kind).length;
  return {
    requests: calls.length,
    answered: countKind("answered"),
    refused: countKind("refused"),
    lost: countKind("lost"),
    runs: runs.length,
    checks,
  };
}
