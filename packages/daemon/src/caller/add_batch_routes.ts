import { createHash } from "node:crypto";
import type { Config, JobId, JobSpec, ServiceName } from "@gooseberryline/core";
import type Router from "@koa/router";
import type { Context } from "koa";
import { JobTask } from "../jobs/job_task.ts";
import { parseInput } from "../jobs/parse_input.ts";
import type { FileMeta, JobRecord } from "../jobs/types.ts";
import { chooseProfile } from "./choose_profile.ts";
import { describeBatch } from "./describe_batch.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { parseJson } from "./parse_json.ts";
import { readBody } from "./read_body.ts";
import { readUpload } from "./read_upload.ts";
import type { Caller, ChosenProfile } from "./types.ts";

const BATCH_BODY_BYTES = 65_536;
const ITEM_COST_TOKENS = 256;

type BatchParts = {
  readonly readConfig: () => Config | undefined;
  readonly jobs: JobTask;
  readonly authenticate: (ctx: Context) => Caller;
};

/** Adds the routes of files and batches. */
export function addBatchRoutes(router: Router, parts: BatchParts): void {
  const { jobs, authenticate } = parts;
  router.post("/v1/files", async (ctx) => {
    const { customerId: customer } = authenticate(ctx);
    const { content, filename, purpose } = await readUpload(ctx.req);
    const about = { customer, filename, purpose };
    ctx.body = describeFile(await jobs.files.add(content, about));
  });
  router.get("/v1/files/:id", async (ctx) => {
    ctx.body = describeFile(await findFile(ctx, parts));
  });
  router.get("/v1/files/:id/content", async (ctx) => {
    const meta = await findFile(ctx, parts);
    ctx.type = "application/octet-stream";
    ctx.length = meta.bytes;
    ctx.body = jobs.files.streamContent(meta.id);
  });
  router.post("/v1/batches", async (ctx) => {
    const record = await createBatch(ctx, authenticate(ctx), parts);
    ctx.body = describe(jobs, record);
  });
  router.get("/v1/batches", (ctx) => {
    const records = jobs.list(authenticate(ctx).customerId);
    const data = records.map((record) => describe(jobs, record));
    ctx.body = { object: "list", data, has_more: false };
  });
  router.get("/v1/batches/:id", (ctx) => {
    ctx.body = describe(jobs, findJob(ctx, parts));
  });
  router.post("/v1/batches/:id/cancel", (ctx) => {
    const { spec } = findJob(ctx, parts);
    jobs.cancel(spec.jobId);
    ctx.body = describe(jobs, findJob(ctx, parts));
  });
}

function describe(
  jobs: JobTask,
  record: JobRecord,
): Readonly<Record<string, unknown>> {
  return describeBatch(record, jobs.count(record.spec.jobId));
}

function describeFile(meta: FileMeta): Readonly<Record<string, unknown>> {
  return {
    id: meta.id,
    object: "file",
    bytes: meta.bytes,
    created_at: meta.createdS,
    filename: meta.filename,
    purpose: meta.purpose,
    status: "processed",
  };
}

async function findFile(ctx: Context, parts: BatchParts): Promise<FileMeta> {
  const { customerId } = parts.authenticate(ctx);
  const id = String(ctx.params.id);
  const meta = await parts.jobs.files.find(id, customerId);
  if (meta === undefined) {
    throw new HttpRefusal(404, `no file ${id}`, { code: "file_not_found" });
  }
  return meta;
}

function findJob(ctx: Context, parts: BatchParts): JobRecord {
  const { customerId } = parts.authenticate(ctx);
  const id = String(ctx.params.id);
  const record = parts.jobs.find(id as JobId, customerId);
  if (record === undefined) {
    throw new HttpRefusal(404, `no batch ${id}`, { code: "batch_not_found" });
  }
  return record;
}

async function createBatch(
  ctx: Context,
  caller: Caller,
  { jobs, readConfig }: BatchParts,
): Promise<JobRecord> {
  const document = readConfig()?.document;
  const request = parseJson(await readBody(ctx.req, BATCH_BODY_BYTES));
  const inputFileId = String(request.input_file_id);
  const endpoint = String(request.endpoint);
  const metadata = (request.metadata ?? {}) as Record<string, string>;
  const meta = await jobs.files.find(inputFileId, caller.customerId);
  if (meta === undefined || document === undefined) {
    throw new HttpRefusal(404, `no file ${inputFileId}`, {
      code: "file_not_found",
    });
  }
  const named = metadata.profile ?? caller.customer.batchProfile;
  const chosen = chooseProfile(document, named);
  const input = parseInput(await jobs.files.readContent(meta.id), endpoint);
  if (input.kind === "invalid") {
    throw new HttpRefusal(400, `line ${input.line}: ${input.message}`, {
      code: input.code,
      step: "parse",
    });
  }
  if (document.services[input.model]?.kind !== "model") {
    throw new HttpRefusal(404, `unknown model "${input.model}"`, {
      code: "model_not_found",
    });
  }
  const spec = buildSpec(caller, chosen, {
    key: ctx.get("idempotency-key"),
    service: input.model as ServiceName,
    itemCount: input.lines.length,
    nowMs: Date.now(),
  });
  const record: JobRecord = {
    spec,
    inputFileId,
    endpoint,
    completionWindow: String(request.completion_window ?? "24h"),
    metadata,
    status: "in_progress",
    endedMs: undefined,
    outputFileId: undefined,
    errorFileId: undefined,
  };
  return jobs.create(record, input.lines);
}

function buildSpec(
  caller: Caller,
  { name, profile }: ChosenProfile,
  about: {
    readonly key: string;
    readonly service: ServiceName;
    readonly itemCount: number;
    readonly nowMs: number;
  },
): JobSpec {
  return {
    jobId: nameJob(caller, about.key),
    customer: caller.customerId,
    keyId: caller.keyId,
    profile: name,
    service: about.service,
    isIdempotent: profile.idempotent,
    itemCount: about.itemCount,
    itemCostTokens: ITEM_COST_TOKENS,
    createdMs: about.nowMs,
    dueMs: about.nowMs + profile.batchDueMs,
  };
}

/** A resent job has the same key, so the same id: it finds itself. */
function nameJob(caller: Caller, key: string): JobId {
  if (key === "") {
    return JobTask.createId();
  }
  const text = `${caller.customerId}\n${key}`;
  const hash = createHash("sha256").update(text).digest("hex");
  return `batch_${hash.slice(0, 32)}` as JobId;
}
