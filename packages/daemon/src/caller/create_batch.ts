import { createHash } from "node:crypto";
import type {
  Config,
  JobId,
  JobRecord,
  JobSpec,
  ServiceName,
} from "@gooseberryline/core";
import type { Context } from "koa";
import { type CheckedInput, checkInput } from "../jobs/check_input.ts";
import { InputReader } from "../jobs/input_reader.ts";
import { JobTask } from "../jobs/job_task.ts";
import type { FileMeta, InputLine, LineFault } from "../jobs/types.ts";
import { checkLimits } from "./check_limits.ts";
import { chooseProfile } from "./choose_profile.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { parseJson } from "./parse_json.ts";
import { readBody } from "./read_body.ts";
import { refuseStorage } from "./refuse_storage.ts";
import type { Caller, ChosenProfile } from "./types.ts";

const BATCH_BODY_BYTES = 65_536;
const ITEM_COST_TOKENS = 256;
const ENDPOINTS = ["/v1/chat/completions", "/v1/completions"];

/** Dependencies of {@link createBatch}. */
export type BatchParts = {
  readonly readConfig: () => Config | undefined;
  readonly jobs: JobTask;
};

type BatchRequest = {
  readonly inputFileId: string;
  readonly endpoint: string;
  readonly completionWindow: string;
  readonly metadata: Readonly<Record<string, string>>;
};

type ValidInput = Extract<CheckedInput, { kind: "valid" }>;

/**
 * Validates the whole input file and creates a job from it. A repeated request
 * with the same idempotency key returns the job created by the first one.
 */
export async function createBatch(
  ctx: Context,
  caller: Caller,
  { jobs, readConfig }: BatchParts,
): Promise<JobRecord> {
  const request = parseRequest(await readBody(ctx.req, BATCH_BODY_BYTES));
  const document = readConfig()?.document;
  const meta = await jobs.files.find(request.inputFileId, caller.customerId);
  if (meta === undefined || document === undefined) {
    throw new HttpRefusal(404, `no file ${request.inputFileId}`, {
      code: "file_not_found",
    });
  }
  const profileName = request.metadata.profile ?? caller.customer.batchProfile;
  const chosen = chooseProfile(document, profileName);
  const input = await checkFile(jobs, meta, { request, chosen });
  if (document.services[input.model]?.kind !== "model") {
    throw new HttpRefusal(404, `unknown model "${input.model}"`, {
      code: "model_not_found",
    });
  }
  const inputDisks = await storeIndex(jobs, meta, input);
  const spec: JobSpec = {
    ...describeOrder(caller, chosen, Date.now()),
    jobId: buildJobId(caller, ctx.get("idempotency-key")),
    service: input.model as ServiceName,
    itemCount: input.offsets.length,
    inputDisks,
    inputHash: hashRequest(request, profileName, input.contentHash),
    about: request,
  };
  return offer(jobs, spec);
}

async function offer(jobs: JobTask, spec: JobSpec): Promise<JobRecord> {
  const answer = await jobs.offer(spec);
  if (answer.kind === "accepted") {
    return answer.record;
  }
  if (answer.kind === "conflict") {
    const message = "the idempotency key was used for another batch";
    throw new HttpRefusal(409, message, { code: "idempotency_conflict" });
  }
  throw new HttpRefusal(503, "the platform's service gave no answer", {
    code: "store_unavailable",
    step: "store",
    peer: "platform",
    run: answer.run,
  });
}

function parseRequest(body: Buffer): BatchRequest {
  const request = parseJson(body);
  const endpoint = String(request.endpoint);
  if (!ENDPOINTS.includes(endpoint)) {
    const message = `endpoint: one of ${ENDPOINTS.join(", ")} is needed`;
    throw new HttpRefusal(400, message, { code: "invalid_endpoint" });
  }
  const { metadata = {} } = request;
  const isObject =
    typeof metadata === "object" &&
    metadata !== null &&
    !Array.isArray(metadata);
  if (!isObject || Object.values(metadata).some((v) => typeof v !== "string")) {
    const message = "metadata: an object of strings is needed";
    throw new HttpRefusal(400, message, { code: "invalid_metadata" });
  }
  return {
    inputFileId: String(request.input_file_id),
    endpoint,
    completionWindow: String(request.completion_window ?? "24h"),
    metadata: metadata as Record<string, string>,
  };
}

async function checkFile(
  jobs: JobTask,
  meta: FileMeta,
  {
    request,
    chosen,
  }: { readonly request: BatchRequest; readonly chosen: ChosenProfile },
): Promise<ValidInput> {
  await jobs.files.read(meta.id).catch(() => refuseStorage());
  const { limits } = chosen.profile;
  const input = await checkInput(
    () => jobs.blobs.folder.read(`files/${meta.id}.data`),
    {
      endpoint: request.endpoint,
      maxItems: limits.items,
      maxLineBytes: limits.bodyBytes,
      checkBody: (body) => checkBody(body, chosen),
    },
  );
  if (input.kind === "invalid") {
    throw new HttpRefusal(400, `line ${input.line}: ${input.message}`, {
      code: input.code,
      step: "parse",
    });
  }
  return input;
}

function checkBody(
  { model, max_tokens: maxTokens }: InputLine["body"],
  chosen: ChosenProfile,
): LineFault | undefined {
  if (typeof model !== "string") {
    return { code: "missing_model", message: "body.model is missing" };
  }
  try {
    const costTokens = typeof maxTokens === "number" ? maxTokens : 0;
    checkLimits(chosen, { model, costTokens });
    return undefined;
  } catch (error) {
    if (error instanceof HttpRefusal) {
      return { code: error.body.error.code, message: error.message };
    }
    throw error;
  }
}

/**
 * Stores the line offsets of the input in an index file and replicates it along
 * with the input.
 */
async function storeIndex(
  jobs: JobTask,
  meta: FileMeta,
  { offsets }: ValidInput,
): Promise<JobSpec["inputDisks"]> {
  const name = InputReader.formatIndexName(meta.id);
  const content = InputReader.encodeOffsets(offsets, meta.bytes);
  await jobs.blobs.folder.write(name, content).catch(() => refuseStorage());
  return jobs.blobs
    .replicate([name, `files/${meta.id}.data`])
    .catch(() => refuseStorage());
}

function describeOrder(
  caller: Caller,
  { name, profile }: ChosenProfile,
  nowMs: number,
): Pick<
  JobSpec,
  | "customer"
  | "keyId"
  | "profile"
  | "isIdempotent"
  | "itemCostTokens"
  | "createdMs"
  | "dueMs"
> {
  return {
    customer: caller.customerId,
    keyId: caller.keyId,
    profile: name,
    isIdempotent: profile.idempotent,
    itemCostTokens: ITEM_COST_TOKENS,
    createdMs: nowMs,
    dueMs: nowMs + profile.batchDueMs,
  };
}

/**
 * Hashes the input and the request parameters, so that identical requests have
 * the same hash.
 */
function hashRequest(
  { endpoint, metadata }: BatchRequest,
  profile: string,
  contentHash: string,
): string {
  const text = JSON.stringify([endpoint, profile, metadata, contentHash]);
  return createHash("sha256").update(text).digest("hex");
}

/**
 * Derives the job id from the idempotency key, so that a resent request maps to
 * the existing job.
 */
function buildJobId(caller: Caller, key: string): JobId {
  if (key === "") {
    return JobTask.createId();
  }
  const text = `${caller.customerId}\n${key}`;
  const hash = createHash("sha256").update(text).digest("hex");
  return `batch_${hash.slice(0, 32)}` as JobId;
}
