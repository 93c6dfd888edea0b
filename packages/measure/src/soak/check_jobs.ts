import { groupBy } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";
import type { LedgerFault } from "./check_ledger.ts";
import { readJob } from "./read_job.ts";
import type { SoakJob } from "./types.ts";

/** Checks every job that was offered, once all had time to end. */
export function checkJobs(
  world: World,
  jobs: readonly SoakJob[],
): readonly LedgerFault[] {
  const runsOf = groupBy(world.ledger.runs, ({ workId }) => String(workId));
  return jobs.flatMap((job) => [
    ...findOpenJob(world, job),
    ...findWrongOutput(world, job),
    ...findSecondItemRun(job, runsOf),
  ]);
}

function findOpenJob(world: World, job: SoakJob): readonly LedgerFault[] {
  const { spec, isCancelled } = job;
  const record = readJob(world, job);
  const isAccepted = world.ledger.jobAnswers.some(
    ({ offerId, answer }) =>
      offerId.startsWith(`${spec.jobId}-`) && answer.kind === "accepted",
  );
  if (record === undefined) {
    return isAccepted
      ? [{ promise: "item-completes-once", detail: `${spec.jobId} is lost` }]
      : [];
  }
  const keys = world.config.document.customers[spec.customer]?.keys ?? [];
  const mayEnd = isCancelled || keys.length === 0;
  const isWell =
    record.phase === "completed" || (mayEnd && record.phase === "cancelled");
  const detail = `${spec.jobId} is ${record.phase} at rest`;
  return isWell ? [] : [{ promise: "item-completes-once", detail }];
}

function findWrongOutput(world: World, job: SoakJob): readonly LedgerFault[] {
  const { jobId, itemCount } = job.spec;
  const isCompleted = readJob(world, job)?.phase === "completed";
  const lines = world.ledger.outputs.get(jobId) ?? [];
  const indexes = new Set(lines.map(({ index }) => index));
  const isWrong =
    indexes.size !== lines.length ||
    (isCompleted && indexes.size !== itemCount);
  const detail = `${jobId}: ${lines.length} lines for ${itemCount} items`;
  return isWrong ? [{ promise: "item-completes-once", detail }] : [];
}

function findSecondItemRun(
  { spec }: SoakJob,
  runsOf: ReadonlyMap<string, readonly unknown[]>,
): readonly LedgerFault[] {
  if (spec.isIdempotent) {
    return [];
  }
  return Array.from(
    { length: spec.itemCount },
    (_, at) => `${spec.jobId}/${at}`,
  )
    .filter((workId) => (runsOf.get(workId)?.length ?? 0) > 1)
    .map((workId) => ({
      promise: "non-idempotent-runs-once",
      detail: `item ${workId} ran ${runsOf.get(workId)?.length} times`,
    }));
}
