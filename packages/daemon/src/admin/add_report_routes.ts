import { mergeBurnRows } from "@gooseberryline/core";
import type Router from "@koa/router";
import type { Context } from "koa";
import type { JobView } from "../jobs/types.ts";
import { mergeRuns } from "../runs/merge_runs.ts";
import { AdminRefusal } from "./admin_refusal.ts";
import type { AdminParts, OperatorRole } from "./types.ts";

const DEFAULT_RUNS = 100;
const MAX_RUNS = 10_000;

/** Adds the routes for reports that cover all reachable instances. */
export function addReportRoutes(
  router: Router,
  { reports, cancelJob, log }: AdminParts,
  requireRole: (ctx: Context, role: OperatorRole) => string,
): void {
  router.get("/admin/v1/status", async (ctx) => {
    requireRole(ctx, "viewer");
    const { answers, missing } = await reports.gatherStatus();
    ctx.body = { instances: answers.map(({ body }) => body), missing };
  });
  router.get("/admin/v1/runs", async (ctx) => {
    requireRole(ctx, "viewer");
    const limit = readLimit(ctx);
    const { answers, missing } = await reports.gatherRuns({
      customer: readText(ctx, "customer"),
      workId: readText(ctx, "work"),
      fromMs: readTimestamp(ctx, "from"),
      untilMs: readTimestamp(ctx, "until"),
      limit,
    });
    const found = answers.flatMap(({ instanceId, body }) =>
      body.map((run) => ({ ...run, instanceId })),
    );
    const runs = mergeRuns(found, limit);
    ctx.body = { runs, missing };
  });
  router.get("/admin/v1/jobs", async (ctx) => {
    requireRole(ctx, "viewer");
    const { answers, missing } = await reports.gatherJobs();
    ctx.body = {
      jobs: mergeJobViews(answers.map(({ body }) => body)),
      missing,
    };
  });
  router.get("/admin/v1/jobs/:id", async (ctx) => {
    requireRole(ctx, "viewer");
    ctx.body = await findJob(String(ctx.params.id));
  });
  router.post("/admin/v1/jobs/:id/cancel", async (ctx) => {
    const operator = requireRole(ctx, "operator");
    const job = await findJob(String(ctx.params.id));
    cancelJob(job.spec);
    log.info("job-cancel-asked", { operator, jobId: job.spec.jobId });
    ctx.status = 202;
    ctx.body = { id: job.spec.jobId };
  });
  router.get("/admin/v1/reports/burn", async (ctx) => {
    requireRole(ctx, "viewer");
    const { answers, missing } = await reports.gatherBurn();
    const rows = mergeBurnRows(answers.map(({ body }) => body));
    const reached = answers.map(({ instanceId }) => instanceId);
    ctx.body = { atMs: Date.now(), rows, reached, missing };
  });

  async function findJob(id: string): Promise<JobView> {
    const { answers } = await reports.gatherJobs();
    const job = mergeJobViews(answers.map(({ body }) => body)).find(
      ({ spec }) => spec.jobId === id,
    );
    if (job === undefined) {
      throw new AdminRefusal(404, "job_not_found", `no job "${id}"`);
    }
    return job;
  }
}

/**
 * Merges the views of jobs that several instances may know; keeps the one with
 * the most results.
 */
function mergeJobViews(
  views: readonly (readonly JobView[])[],
): readonly JobView[] {
  const jobs = views.flat().reduce((known, job) => {
    const knownView = known.get(job.spec.jobId);
    const isMoreAdvanced =
      knownView === undefined ||
      job.completed + job.failed > knownView.completed + knownView.failed;
    return isMoreAdvanced ? known.set(job.spec.jobId, job) : known;
  }, new Map<string, JobView>());
  return [...jobs.values()];
}

function readLimit(ctx: Context): number {
  const text = readText(ctx, "limit");
  const limit = text === undefined ? DEFAULT_RUNS : Number(text);
  if (!Number.isInteger(limit) || limit < 1 || limit > MAX_RUNS) {
    throw new AdminRefusal(
      400,
      "invalid_limit",
      `limit must be a whole number from 1 to ${MAX_RUNS}`,
    );
  }
  return limit;
}

/**
 * Reads a timestamp, given in milliseconds since the epoch or as an ISO date.
 */
function readTimestamp(ctx: Context, name: string): number | undefined {
  const text = readText(ctx, name);
  if (text === undefined) {
    return undefined;
  }
  const ms = /^\d+$/.test(text) ? Number(text) : Date.parse(text);
  if (Number.isNaN(ms)) {
    throw new AdminRefusal(
      400,
      `invalid_${name}`,
      `${name} must be milliseconds or an ISO date`,
    );
  }
  return ms;
}

function readText(ctx: Context, name: string): string | undefined {
  const value = ctx.query[name];
  return typeof value === "string" && value !== "" ? value : undefined;
}
