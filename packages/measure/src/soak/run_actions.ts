import { INVARIANTS } from "@gooseberryline/core";
import type { WorldOptions } from "@gooseberryline/fakes";
import { checkFleet } from "./check_fleet.ts";
import { checkJobs } from "./check_jobs.ts";
import { checkLedger } from "./check_ledger.ts";
import { isJobOver } from "./is_job_over.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { SoakAction, SoakCounts, SoakVerdict } from "./types.ts";

/** A pause may last 20 s, and a change has 11 s to spread after it. */
const SPREAD_MS = 32_000;
const REST_MS = 40_000;
/** Time for jobs to end whose owners were lost or paused. */
const JOBS_MS = 200_000;
const JOBS_POLL_MS = 2_000;

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
    fleet.settle(SPREAD_MS);
    const restedMs = fleet.world.nowMs;
    fleet.probe();
    fleet.settle(REST_MS);
    waitForJobs(fleet);
    const { world, limits } = fleet;
    const [fault] = [
      ...checkLedger(world.ledger),
      ...checkFleet(world, { restedMs, limits }),
      ...checkJobs(world, fleet.jobs),
    ];
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

/** Runs on until every job has ended, or had all the time it may need. */
function waitForJobs({ world, jobs }: SoakFleet): void {
  const endsMs = world.nowMs + JOBS_MS;
  while (world.nowMs < endsMs && !jobs.every((job) => isJobOver(world, job))) {
    world.runFor(JOBS_POLL_MS);
  }
}

function countChecks(): number {
  return Object.values(INVARIANTS.checked).reduce((sum, n) => sum + n, 0);
}

function countEnds({ world, jobs }: SoakFleet, checks: number): SoakCounts {
  const { calls, runs } = world.ledger;
  const countKind = (kind: string): number =>
    calls.filter(({ end }) => end?.kind === kind).length;
  return {
    requests: calls.length,
    answered: countKind("answered"),
    refused: countKind("refused"),
    lost: countKind("lost"),
    runs: runs.length,
    jobs: jobs.length,
    checks,
  };
}
