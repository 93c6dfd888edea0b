import type { JobId, JobRecord } from "@gooseberryline/core";
import type Router from "@koa/router";
import type { Context } from "koa";
import type { JobView } from "../jobs/types.ts";
import { addFileRoutes } from "./add_file_routes.ts";
import { type BatchParts, createBatch } from "./create_batch.ts";
import { describeBatch } from "./describe_batch.ts";
import { HttpRefusal } from "./http_refusal.ts";
import type { Caller } from "./types.ts";

const DEFAULT_LIMIT = 20;
const MAX_LIMIT = 100;

type RouteParts = BatchParts & {
  readonly authenticate: (ctx: Context) => Caller;
};

/** Registers the file and batch routes on the router. */
export function addBatchRoutes(router: Router, parts: RouteParts): void {
  const { jobs, authenticate } = parts;
  const { directory } = jobs;
  addFileRoutes(router, { files: jobs.files, authenticate });
  router.post("/v1/batches", async (ctx) => {
    const record = await createBatch(ctx, authenticate(ctx), parts);
    ctx.body = describeBatch(await directory.describe(record));
  });
  router.get("/v1/batches", async (ctx) => {
    const { customerId } = authenticate(ctx);
    const limit = readLimit(ctx);
    const records = await directory
      .list(customerId)
      .catch(() => refusePlatform());
    const rest = listAfter(records, ctx.query.after);
    const page = rest.slice(0, limit);
    const views = await Promise.all(
      page.map((record) => directory.describe(record)),
    );
    ctx.body = {
      object: "list",
      data: views.map(describeBatch),
      first_id: page.at(0)?.spec.jobId ?? null,
      last_id: page.at(-1)?.spec.jobId ?? null,
      has_more: rest.length > limit,
    };
  });
  router.get("/v1/batches/:id", async (ctx) => {
    ctx.body = describeBatch(await findJob(ctx, parts));
  });
  router.post("/v1/batches/:id/cancel", async (ctx) => {
    const view = await findJob(ctx, parts);
    const { spec, status } = view;
    const hasEnded = status === "completed" || status === "cancelled";
    if (hasEnded || status === "finalizing") {
      const message = `the batch is ${status} and can't be cancelled`;
      throw new HttpRefusal(409, message, { code: "batch_not_cancellable" });
    }
    jobs.cancel(spec.jobId, spec.customer);
    ctx.body = describeBatch({ ...view, status: "cancelling" });
  });
}

async function findJob(ctx: Context, parts: RouteParts): Promise<JobView> {
  const { customerId } = parts.authenticate(ctx);
  const id = String(ctx.params.id);
  const view = await parts.jobs.directory
    .find(id as JobId, customerId)
    .catch(() => refusePlatform());
  if (view === undefined) {
    throw new HttpRefusal(404, `no batch ${id}`, { code: "batch_not_found" });
  }
  return view;
}

function readLimit(ctx: Context): number {
  const { limit } = ctx.query;
  const requestedLimit = limit === undefined ? DEFAULT_LIMIT : Number(limit);
  if (
    !Number.isInteger(requestedLimit) ||
    requestedLimit < 1 ||
    requestedLimit > MAX_LIMIT
  ) {
    const message = `limit: a whole number from 1 to ${MAX_LIMIT} is needed`;
    throw new HttpRefusal(400, message, { code: "invalid_limit" });
  }
  return requestedLimit;
}

/**
 * Returns the records that follow the batch `after`; throws if that batch is
 * unknown.
 */
function listAfter(
  records: readonly JobRecord[],
  after: unknown,
): readonly JobRecord[] {
  if (after === undefined) {
    return records;
  }
  const index = records.findIndex(({ spec }) => spec.jobId === after);
  if (index < 0) {
    const message = `after: no batch ${String(after)}`;
    throw new HttpRefusal(400, message, { code: "invalid_after" });
  }
  return records.slice(index + 1);
}

function refusePlatform(): never {
  throw new HttpRefusal(503, "the platform's service gave no answer", {
    code: "store_unavailable",
    step: "store",
    peer: "platform",
  });
}
