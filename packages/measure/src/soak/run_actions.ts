import { INVARIANTS } from "@gooseberryline/core";
import type { WorldOptions } from "@gooseberryline/fakes";
import { checkFleet } from "./check_fleet.ts";
import { checkJobs } from "./check_jobs.ts";
import { checkLedger } from "./check_ledger.ts";
import { isJobSettled } from "./is_job_settled.ts";
import { SoakFleet } from "./soak_fleet.ts";
import type { SoakAction, SoakCounts, SoakVerdict } from "./types.ts";

/**
 * Covers a pause of up to 20 s and the 11 s that a configuration change may
 * take to spread afterwards.
 */
const CONFIG_SPREAD_MS = 32_000;
const REST_MS = 40_000;
/** Upper bound for jobs to end after their owners were lost or paused. */
const JOBS_END_LIMIT_MS = 200_000;
const JOBS_POLL_MS = 2_000;

/** Applies actions to a fleet and checks its guarantees afterwards. */
export function runActions(
  seed: number,
  actions: readonly SoakAction[],
  step?: WorldOptions["step"],
): SoakVerdict {
  const checksBefore = countChecks();
  INVARIANTS.shouldThrow = true;
  try {
    const fleet = new SoakFleet({ seed, step });
    actions.forEach((action) => {
      fleet.apply(action);
    });
    fleet.settle(CONFIG_SPREAD_MS);
    const settledMs = fleet.world.nowMs;
    fleet.sendProbes();
    fleet.settle(REST_MS);
    waitForJobs(fleet);
    const { world, limits } = fleet;
    const [fault] = [
      ...checkLedger(world.ledger),
      ...checkFleet(world, { settledMs, limits }),
      ...checkJobs(world, fleet.jobs),
    ];
    if (fault !== undefined) {
      const message = `${fault.guarantee}: ${fault.detail}`;
      return { kind: "broken", message };
    }
    const counts = countOutcomes(fleet, countChecks() - checksBefore);
    return { kind: "held", counts };
  } catch (error) {
    return { kind: "broken", message: (error as Error).message };
  }
}

/** Runs the fleet until every job has ended or the time limit is reached. */
function waitForJobs({ world, jobs }: SoakFleet): void {
  const deadlineMs = world.nowMs + JOBS_END_LIMIT_MS;
  while (
    world.nowMs < deadlineMs &&
    !jobs.every((job) => isJobSettled(world, job))
  ) {
    world.runFor(JOBS_POLL_MS);
  }
}

function countChecks(): number {
  return Object.values(INVARIANTS.checked).reduce((sum, n) => sum + n, 0);
}

function countOutcomes({ world, jobs }: SoakFleet, checks: number): SoakCounts {
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
