import { randomUUID } from "node:crypto";
import { appendFile, mkdir } from "node:fs/promises";
import { join } from "node:path";
import type {
  CustomerId,
  Effect,
  InstanceEvent,
  JobId,
  JobSpec,
} from "@gooseberryline/core";
import type { JobView } from "../admin/types.ts";
import type { AnswerSink, AttemptCall } from "../tasks/types.ts";
import { CollectedAnswer } from "./collected_answer.ts";
import { FileStore } from "./file_store.ts";
import type { InputLine, JobRecord, StoredResult } from "./types.ts";
import { writeOutputLine } from "./write_output_line.ts";

type StoreResult = Extract<Effect, { kind: "store-result" }>;

type RunningJob = {
  record: JobRecord;
  readonly lines: readonly InputLine[];
  readonly results: StoredResult[];
};

/** Owns the data folder: files, job inputs and item results. */
export class JobTask {
  readonly files: FileStore;
  readonly #folder: string;
  readonly #post: (event: InstanceEvent) => void;
  readonly #jobs = new Map<JobId, RunningJob>();
  readonly #answers = new Map<string, CollectedAnswer>();

  constructor(folder: string, post: (event: InstanceEvent) => void) {
    this.#folder = folder;
    this.#post = post;
    this.files = new FileStore(join(folder, "files"));
  }

  /** Takes on a job; one that is known already is found, not doubled. */
  create(record: JobRecord, lines: readonly InputLine[]): JobRecord {
    const { spec } = record;
    const known = this.#jobs.get(spec.jobId);
    if (known !== undefined) {
      return known.record;
    }
    this.#jobs.set(spec.jobId, { record, lines, results: [] });
    this.#post({ kind: "job-offered", spec });
    return record;
  }

  find(jobId: JobId, customer: CustomerId): JobRecord | undefined {
    const record = this.#jobs.get(jobId)?.record;
    return record?.spec.customer === customer ? record : undefined;
  }

  list(customer: CustomerId): readonly JobRecord[] {
    return [...this.#jobs.values()]
      .map(({ record }) => record)
      .filter(({ spec }) => spec.customer === customer);
  }

  /** Every job that this instance knows, whoever its customer is. */
  listAll(): readonly JobView[] {
    return [...this.#jobs.values()].map(({ record }) => ({
      ...record,
      ...this.count(record.spec.jobId),
    }));
  }

  /** How many items of a job ended so far, by kind. */
  count(jobId: JobId): { readonly completed: number; readonly failed: number } {
    const results = this.#jobs.get(jobId)?.results ?? [];
    const failed = results.filter(({ kind }) => kind === "error").length;
    return { completed: results.length - failed, failed };
  }

  cancel(jobId: JobId): void {
    this.#post({ kind: "job-cancel-asked", jobId });
  }

  /** The call of one item, and a sink that collects its answer. */
  open(
    spec: { readonly jobId: JobId; readonly index: number },
    attemptId: string,
  ): { readonly call: AttemptCall; readonly sink: AnswerSink } | undefined {
    const line = this.#jobs.get(spec.jobId)?.lines[spec.index];
    if (line === undefined) {
      return undefined;
    }
    const answer = new CollectedAnswer();
    this.#answers.set(attemptId, answer);
    const call = {
      method: "POST",
      path: line.url,
      headers: { "content-type": "application/json" },
      body: Buffer.from(JSON.stringify({ ...line.body, stream: false })),
      isStream: false,
    };
    return { call, sink: answer.sink };
  }

  async store({ jobId, index, attemptId, result }: StoreResult): Promise<void> {
    const job = this.#jobs.get(jobId);
    const answer = this.#answers.get(attemptId ?? "");
    this.#answers.delete(attemptId ?? "");
    const stored: StoredResult = {
      index,
      attemptId: attemptId ?? "",
      kind: result.kind,
      status: result.kind === "answer" ? result.status : 0,
      body: result.kind === "answer" ? answer?.readJson() : result,
    };
    const path = join(this.#folder, "jobs", `${jobId}.jsonl`);
    await mkdir(join(this.#folder, "jobs"), { recursive: true });
    await appendFile(path, `${JSON.stringify(stored)}\n`);
    job?.results.push(stored);
    this.#post({ kind: "result-stored", jobId, index, result });
  }

  async end(jobId: JobId, status: "completed" | "cancelled"): Promise<void> {
    const job = this.#jobs.get(jobId);
    if (job === undefined) {
      return;
    }
    const { spec } = job.record;
    const answers = job.results.filter(({ kind }) => kind === "answer");
    const errors = job.results.filter(({ kind }) => kind === "error");
    const outputFileId = await this.#addOutput(spec, job, answers);
    const errorFileId = await this.#addOutput(spec, job, errors);
    const endedMs = Date.now();
    job.record = { ...job.record, status, endedMs, outputFileId, errorFileId };
  }

  async #addOutput(
    spec: JobSpec,
    job: RunningJob,
    results: readonly StoredResult[],
  ): Promise<string | undefined> {
    if (results.length === 0) {
      return undefined;
    }
    const lines = results
      .toSorted((a, b) => a.index - b.index)
      .map((result) =>
        writeOutputLine(spec, job.lines[result.index]?.customId ?? "", result),
      );
    const meta = await this.files.add(Buffer.from(lines.join("")), {
      customer: spec.customer,
      filename: `${spec.jobId}.jsonl`,
      purpose: "batch_output",
    });
    return meta.id;
  }

  /** A new id for a job without an idempotency key. */
  static createId(): JobId {
    return `batch_${randomUUID()}` as string as JobId;
  }
}
