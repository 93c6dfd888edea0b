import { randomUUID } from "node:crypto";
import type {
  AttemptId,
  CustomerId,
  Effect,
  InstanceEvent,
  InstanceState,
  JobId,
  JobSpec,
  OfferAnswer,
} from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { AttemptTarget } from "../tasks/types.ts";
import { CollectedAnswer } from "./collected_answer.ts";
import { FileStore } from "./file_store.ts";
import { InputReader } from "./input_reader.ts";
import type { JobDirectory } from "./job_directory.ts";
import { OutputBuilder } from "./output_builder.ts";
import { ResultWriter } from "./result_writer.ts";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { StoredResult } from "./types.ts";

const BUILD_RETRY_MS = 2_000;
const FIRST_ERROR_STATUS = 400;

type StoreResult = Extract<Effect, { kind: "store-result" }>;
type BuildOutput = Extract<Effect, { kind: "build-output" }>;
type ItemOrigin = { readonly jobId: JobId; readonly index: number };

type InFlightItem = {
  readonly customId: string;
  readonly answer: CollectedAnswer;
};

/** Dependencies of the task. */
export type JobTaskParts = {
  readonly blobs: SharedBlobs;
  readonly directory: JobDirectory;
  readonly readState: () => InstanceState;
  readonly post: (event: InstanceEvent) => void;
  readonly log: Log;
};

/** Manages the files of batch jobs: inputs, item results and outputs. */
export class JobTask {
  readonly files: FileStore;
  readonly blobs: SharedBlobs;
  readonly directory: JobDirectory;
  readonly #parts: JobTaskParts;
  readonly #inputs: InputReader;
  readonly #results: ResultWriter;
  readonly #outputs: OutputBuilder;
  readonly #readingInput = new Set<AttemptId>();
  readonly #items = new Map<string, InFlightItem>();
  readonly #offers = new Map<string, (answer: OfferAnswer) => void>();

  constructor(parts: JobTaskParts) {
    this.#parts = parts;
    this.blobs = parts.blobs;
    this.directory = parts.directory;
    this.files = new FileStore(parts.blobs);
    this.#inputs = new InputReader(parts.blobs);
    this.#results = new ResultWriter(parts.blobs);
    this.#outputs = new OutputBuilder(parts.blobs, this.files);
  }

  /** Offers a job to the core and resolves with the core's answer. */
  offer(spec: JobSpec): Promise<OfferAnswer> {
    const offerId = randomUUID();
    return new Promise((resolve) => {
      this.#offers.set(offerId, resolve);
      this.#parts.post({ kind: "job-offered", offerId, spec });
    });
  }

  answerOffer(offerId: string, answer: OfferAnswer): void {
    const resolve = this.#offers.get(offerId);
    this.#offers.delete(offerId);
    resolve?.(answer);
  }

  cancel(jobId: JobId, customer: CustomerId): void {
    this.#parts.post({ kind: "job-cancel-asked", jobId, customer });
  }

  /**
   * Reads an item's input and passes its call to `startAttempt`, unless the
   * attempt is cancelled in the meantime. Unreadable input ends the attempt.
   */
  async open(
    origin: ItemOrigin,
    attemptId: AttemptId,
    startAttempt: (target: AttemptTarget) => void,
  ): Promise<void> {
    this.#readingInput.add(attemptId);
    try {
      const target = await this.#buildTarget(origin);
      if (this.#readingInput.delete(attemptId)) {
        startAttempt(target);
      }
    } catch (error) {
      if (this.#readingInput.delete(attemptId)) {
        this.#reportUnreadableInput(attemptId, String(error));
      }
    }
  }

  /** Cancels an attempt whose input is still being read. */
  cancelInputRead(attemptId: AttemptId): void {
    this.#readingInput.delete(attemptId);
  }

  /** Stores an item's result and posts whether it was stored. */
  async store(effect: StoreResult): Promise<void> {
    const { kind: _kind, disks, ...about } = effect;
    const failedDisk = await this.#appendResult(effect).catch(
      (error: unknown) => {
        const { jobId, index } = effect;
        const message = String(error);
        this.#parts.log.warn("store-failed", {
          step: "store",
          jobId,
          index,
          message,
        });
        return disks[0];
      },
    );
    if (failedDisk === undefined) {
      this.#items.delete(formatItemKey(effect));
      this.#parts.post({ kind: "result-stored", ...about });
      return;
    }
    this.#parts.post({
      kind: "result-store-failed",
      ...about,
      disk: failedDisk,
    });
  }

  /**
   * Builds an ended job's output files and posts them. On failure, posts an
   * undefined output after a delay, so that the core can retry.
   */
  async build({ spec, segments }: BuildOutput): Promise<void> {
    const { jobId } = spec;
    try {
      const output = await this.#outputs.build(spec, segments);
      this.#parts.post({ kind: "output-built", jobId, output });
    } catch (error) {
      const message = String(error);
      this.#parts.log.warn("output-failed", { step: "store", jobId, message });
      await new Promise((resolve) => setTimeout(resolve, BUILD_RETRY_MS));
      this.#parts.post({ kind: "output-built", jobId, output: undefined });
    }
  }

  /** Removes the item results of a job whose output files are complete. */
  async drop(jobId: JobId): Promise<void> {
    const prefix = `${jobId}.`;
    this.#results.drop(prefix);
    [...this.#items.keys()]
      .filter((name) => name.startsWith(`${jobId}/`))
      .forEach((name) => {
        this.#items.delete(name);
      });
    const names = await this.blobs.folder.listFolder("results");
    await Promise.all(
      names
        .filter((name) => name.startsWith(`results/${prefix}`))
        .map((name) => this.blobs.folder.remove(name)),
    );
  }

  /** Creates an id for a job without an idempotency key. */
  static createId(): JobId {
    return `batch_${randomUUID()}` as string as JobId;
  }

  async #buildTarget(origin: ItemOrigin): Promise<AttemptTarget> {
    const spec = this.#findSpec(origin.jobId);
    const fileId = String(spec?.about.inputFileId);
    const line = await this.#inputs.read(fileId, origin.index);
    const answer = new CollectedAnswer();
    this.#items.set(formatItemKey(origin), { customId: line.customId, answer });
    const call = {
      method: "POST",
      path: line.url,
      headers: { "content-type": "application/json" },
      body: Buffer.from(JSON.stringify({ ...line.body, stream: false })),
      isStream: false,
      isIdempotent: spec?.isIdempotent ?? false,
    };
    return { call, sink: answer.sink };
  }

  #reportUnreadableInput(attemptId: AttemptId, message: string): void {
    const peer = this.blobs.ownId;
    this.#parts.log.warn("input-unread", { step: "store", peer, message });
    const fault = {
      code: "store_unavailable",
      step: "store",
      peer,
      message,
    } as const;
    const outcome = { kind: "not-started", fault } as const;
    this.#parts.post({ kind: "attempt-ended", attemptId, outcome });
  }

  async #appendResult(
    effect: StoreResult,
  ): Promise<StoreResult["disks"][0] | undefined> {
    const { jobId, index, result, blobId, disks } = effect;
    const item = this.#items.get(formatItemKey(effect));
    const customId = item?.customId ?? (await this.#readCustomId(effect));
    const isAnswer = result.kind === "answer";
    const line = {
      id: `${jobId}_${index}`,
      custom_id: customId,
      response: isAnswer
        ? {
            status_code: result.status,
            request_id: effect.attemptId ?? "",
            body: item?.answer.readJson() ?? null,
          }
        : null,
      error: isAnswer ? null : { code: result.code, message: result.message },
    };
    const isFailed = !isAnswer || result.status >= FIRST_ERROR_STATUS;
    const stored: StoredResult = { index, isFailed, line };
    return this.#results.append(blobId, disks, stored);
  }

  async #readCustomId({ jobId, index }: ItemOrigin): Promise<string> {
    const fileId = String(this.#findSpec(jobId)?.about.inputFileId);
    return (await this.#inputs.read(fileId, index)).customId;
  }

  #findSpec(jobId: JobId): JobSpec | undefined {
    return this.#parts.readState().jobs.known[jobId]?.record.spec;
  }
}

function formatItemKey({ jobId, index }: ItemOrigin): string {
  return `${jobId}/${index}`;
}
