import {
  assertNever,
  BATCHES,
  type BatchItem,
  type BatchJob,
  batchKeys,
  DUTIES,
  type EventLog,
  type MetadataStore,
  type Route,
  type RouteCustomer,
} from "@gooseberryline/core";
import type { CallDialect, CallHead, JobCall } from "../dialect/types.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { faults } from "../requests/faults.ts";
import type { CallReply } from "../requests/types.ts";
import { readConstant } from "../store/read_constant.ts";
import { waitMs } from "../wait_ms.ts";
import { authenticateReader } from "./authenticate_reader.ts";
import { batchRecords } from "./batch_records.ts";
import { buildJob } from "./build_job.ts";
import { JOB_TIMES } from "./constants.ts";
import { JobCache } from "./job_cache.ts";
import type { ResultCountFeed } from "./result_count_feed.ts";
import { ResultsReader } from "./results_reader.ts";

type DoorParts = {
  readonly view: FleetView;
  readonly store: MetadataStore;
  readonly dialect: CallDialect;
  readonly log: EventLog;
  readonly news: ResultCountFeed;
};

const ACCEPTED = 202;
const OK = 200;
const JOB_ID = /^[\w.-]{1,120}$/;
/** Records of a job beside its chunks of items. */
const OWN_RECORDS = 3;

/** Answers callers' requests about jobs, from the metadata store. */
export class JobApi {
  readonly #parts: DoorParts;
  readonly #cache: JobCache;
  readonly #reader: ResultsReader;
  #writes = 0;

  constructor(parts: DoorParts) {
    this.#parts = parts;
    this.#cache = new JobCache(parts.store);
    this.#reader = new ResultsReader(parts.store, parts.news);
  }

  /** Accepts a job once under its id, however often it is sent. */
  async accept(
    route: Route,
    customer: RouteCustomer | undefined,
    head: CallHead,
    body: Buffer,
    reply: CallReply,
  ): Promise<void> {
    const { requestId } = head;
    if (requestId === undefined || !JOB_ID.test(requestId)) {
      reply.sendFault(faults.badRequest("the job has no valid id"));
      return;
    }
    const items = this.#parts.dialect.parseJob(body);
    if (items.kind === "unreadable") {
      reply.sendFault(faults.badRequest(items.reason));
      return;
    }
    if (items.value.length > BATCHES.MAX_ITEMS) {
      reply.sendFault(faults.tooLarge(`over ${BATCHES.MAX_ITEMS} items`));
      return;
    }
    await this.#commitJob(requestId, route, customer, items.value, reply);
  }

  async #commitJob(
    id: string,
    route: Route,
    customer: RouteCustomer | undefined,
    items: readonly BatchItem[],
    reply: CallReply,
  ): Promise<void> {
    const { view, store, log } = this.#parts;
    this.#writes += 1;
    const { job, commit } = buildJob({
      id,
      customer: customer?.name ?? "",
      route,
      items,
      submittedAtMs: Date.now(),
      runners: view.members.list(DUTIES.run),
      writer: `${view.settings.instanceId}/${view.incarnation}/${this.#writes}`,
    });
    if (commit.set.length > BATCHES.MAX_COMMIT_ENTRIES - OWN_RECORDS) {
      reply.sendFault(faults.tooLarge("the job's items are too large"));
      return;
    }
    const accept = async (triesLeft: number, isDoubtful: boolean) => {
      const done = await store.commit(commit);
      switch (done.kind) {
        case "committed":
          this.#cache.put(job);
          log.info("job-accepted", { jobId: id, items: items.length });
          reply.sendWhole(describeAnswer(ACCEPTED), Buffer.alloc(0));
          return;
        case "conflict":
          await this.#answerRepeat(job, reply);
          return;
        case "lease-gone":
        case "failed": {
          const isUndone = done.kind === "failed" && done.isUndone;
          const mayStand = isDoubtful || !isUndone;
          if (triesLeft > 0 && reply.isOpen()) {
            await waitMs(JOB_TIMES.WRITE_RETRY_MS);
            await accept(triesLeft - 1, mayStand);
            return;
          }
          log.warn("job-not-accepted", { jobId: id, mayStand });
          reply.sendFault(
            mayStand
              ? faults.timedOut("the store did not answer", true)
              : faults.unready("the store is not reached"),
          );
          return;
        }
        default:
          assertNever(done);
      }
    };
    await accept(JOB_TIMES.ACCEPT_TRIES - 1, false);
  }

  /** A job that stands already is accepted again for its own customer. */
  async #answerRepeat(job: BatchJob, reply: CallReply): Promise<void> {
    const found = await this.#cache.find(job.id);
    if (found.kind === "failed") {
      reply.sendFault(faults.timedOut("the store did not answer", true));
      return;
    }
    const isOwn = found.kind === "found" && found.job.customer === job.customer;
    if (isOwn) {
      reply.sendWhole(describeAnswer(ACCEPTED), Buffer.alloc(0));
    } else {
      reply.sendFault(faults.badRequest("the job's id is taken"));
    }
  }

  /** Answers a call about a job that was accepted before. */
  async answer(call: JobCall, head: CallHead, reply: CallReply): Promise<void> {
    if (call.kind === "malformed") {
      reply.sendFault(faults.badRequest(call.reason));
      return;
    }
    const { table } = this.#parts.view;
    const reader =
      table === undefined ? undefined : authenticateReader(table, head.key);
    if (reader === undefined) {
      reply.sendFault(faults.unknownKey());
      return;
    }
    const found = await this.#cache.find(call.jobId);
    if (found.kind === "failed") {
      reply.sendFault(faults.unready(found.reason));
      return;
    }
    if (found.kind === "none" || found.job.customer !== reader) {
      reply.sendFault(faults.notFound("there is no such job"));
      return;
    }
    await this.#answerFor(found.job, call, head, reply);
  }

  async #answerFor(
    job: BatchJob,
    call: Exclude<JobCall, { kind: "malformed" }>,
    head: CallHead,
    reply: CallReply,
  ): Promise<void> {
    switch (call.kind) {
      case "read":
        await this.#answerRead(job, call.after, head.waitMs, reply);
        return;
      case "body":
        await this.#answerBody(job, call.itemId, reply);
        return;
      case "end":
        await this.#answerEnd(job, reply);
        return;
      default:
        assertNever(call);
    }
  }

  async #answerRead(
    job: BatchJob,
    after: number,
    holdMs: number,
    reply: CallReply,
  ): Promise<void> {
    const { dialect } = this.#parts;
    const read = await this.#reader.read(job, after, holdMs);
    if (read.kind === "failed") {
      reply.sendFault(faults.unready(read.reason));
      return;
    }
    const { results } = read;
    const text = dialect.encodeResults({
      total: job.itemIds.length,
      next: after + results.length,
      results,
    });
    reply.sendWhole(describeAnswer(OK, "application/json"), Buffer.from(text));
  }

  async #answerBody(
    job: BatchJob,
    itemId: string,
    reply: CallReply,
  ): Promise<void> {
    const index = job.itemIds.indexOf(itemId);
    const chunk = job.chunkStarts.findLastIndex((start) => start <= index);
    if (index === -1 || chunk === -1) {
      reply.sendFault(faults.notFound("there is no such item"));
      return;
    }
    const key = batchKeys.chunk(job.id, chunk);
    const read = await readConstant(this.#parts.store, key);
    if (read.kind === "failed") {
      reply.sendFault(faults.unready(read.reason));
      return;
    }
    const items =
      read.item === undefined
        ? undefined
        : batchRecords.decodeChunk(read.item.value);
    const item = items?.find(({ id }) => id === itemId);
    if (item === undefined) {
      reply.sendFault(faults.unready("the item's record can't be read"));
      return;
    }
    reply.sendWhole(
      describeAnswer(OK, "application/octet-stream"),
      Buffer.from(item.body, "base64"),
    );
  }

  /** Without its claim no instance may list results of a job any more. */
  async #answerEnd(job: BatchJob, reply: CallReply): Promise<void> {
    const { store, log } = this.#parts;
    const end = async (triesLeft: number): Promise<void> => {
      const done = await store.commit({
        expect: [],
        set: [],
        remove: [batchKeys.claim(job.id)],
      });
      if (done.kind === "committed") {
        log.info("job-ended-by-caller", { jobId: job.id });
        reply.sendWhole(describeAnswer(OK), Buffer.alloc(0));
      } else if (triesLeft > 0 && reply.isOpen()) {
        await waitMs(JOB_TIMES.WRITE_RETRY_MS);
        await end(triesLeft - 1);
      } else {
        reply.sendFault(faults.timedOut("the store did not answer", true));
      }
    };
    await end(JOB_TIMES.ACCEPT_TRIES - 1);
  }
}

function describeAnswer(status: number, type?: string) {
  const rawHeaders = type === undefined ? [] : ["Content-Type", type];
  return { status, headers: {}, rawHeaders, isEventStream: false };
}
