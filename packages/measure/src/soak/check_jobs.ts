import { groupBy } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";
import type { LedgerFault } from "./check_ledger.ts";
import { readJob } from "./read_job.ts";
import type { SoakJob } from "./types.ts";

/** Checks every offered job after all of them have had time to end. */
export function checkJobs(
  world: World,
  jobs: readonly SoakJob[],
): readonly LedgerFault[] {
  const runsOf = groupBy(world.ledger.runs, ({ workId }) => String(workId));
  return jobs.flatMap((job) => [
    ...findUnfinishedJob(world, job),
    ...findIncorrectOutput(world, job),
    ...findRepeatedItemRuns(job, runsOf),
  ]);
}

function findUnfinishedJob(world: World, job: SoakJob): readonly LedgerFault[] {
  const { spec, isCancelled } = job;
  const record = readJob(world, job);
  const isAccepted = world.ledger.jobAnswers.some(
    ({ offerId, answer }) =>
      offerId.startsWith(`${spec.jobId}-`) && answer.kind === "accepted",
  );
  if (record === undefined) {
    return isAccepted
      ? [{ guarantee: "item-completes-once", detail: `${spec.jobId} is lost` }]
      : [];
  }
  const keys = world.config.document.customers[spec.customer]?.keys ?? [];
  const canBeCancelled = isCancelled || keys.length === 0;
  const hasExpectedPhase =
    record.phase === "completed" ||
    (canBeCancelled && record.phase === "cancelled");
  const detail = `${spec.jobId} is ${record.phase} at rest`;
  return hasExpectedPhase ? [] : [{ guarantee: "item-completes-once", detail }];
}

function findIncorrectOutput(
  world: World,
  job: SoakJob,
): readonly LedgerFault[] {
  const { jobId, itemCount } = job.spec;
  const isCompleted = readJob(world, job)?.phase === "completed";
  const lines = world.ledger.outputs.get(jobId) ?? [];
  const indexes = new Set(lines.map(({ index }) => index));
  const isIncorrect =
    indexes.size !== lines.length ||
    (isCompleted && indexes.size !== itemCount);
  const detail = `${jobId}: ${lines.length} lines for ${itemCount} items`;
  return isIncorrect ? [{ guarantee: "item-completes-once", detail }] : [];
}

function findRepeatedItemRuns(
  { spec }: SoakJob,
  runsOf: ReadonlyMap<string, readonly unknown[]>,
): readonly LedgerFault[] {
  if (spec.isIdempotent) {
    return [];
  }
  return Array.from(
    { length: spec.itemCount },
    (_, itemIndex) => `${spec.jobId}/${itemIndex}`,
  )
    .filter((workId) => (runsOf.get(workId)?.length ?? 0) > 1)
    .map((workId) => ({
      guarantee: "non-idempotent-runs-once",
      detail: `item ${workId} ran ${runsOf.get(workId)?.length} times`,
    }));
}
