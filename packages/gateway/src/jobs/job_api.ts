import {
  assertNever,
  BATCHES,
  type BatchJob,
  backlogKeys,
  batchKeys,
  type EventLog,
  type MetadataStore,
  missingNames,
  type Route,
  type RouteCustomer,
} from "@gooseberryline/core";
import type { CallDialect, CallHead, JobCall } from "../dialect/types.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { INTAKE_CONSTANTS } from "../intake/constants.ts";
import type { TableCheck } from "../refusals/table_check.ts";
import { callErrors } from "../requests/call_errors.ts";
import type { CallError, CallReply } from "../requests/types.ts";
import { readImmutable } from "../store/read_immutable.ts";
import { waitMs } from "../wait_ms.ts";
import { authenticateReader } from "./authenticate_reader.ts";
import { batchRecords } from "./batch_records.ts";
import { checkItems } from "./check_items.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import { JobAcceptor } from "./job_acceptor.ts";
import { JobCache } from "./job_cache.ts";
import { JobRoom } from "./job_room.ts";
import { refuseNewJob } from "./refuse_new_job.ts";
import type { ResultCountFeed } from "./result_count_feed.ts";
import { ResultsReader } from "./results_reader.ts";

type JobApiParts = {
  readonly view: FleetView;
  readonly store: MetadataStore;
  readonly dialect: CallDialect;
  readonly log: EventLog;
  readonly resultCounts: ResultCountFeed;
  readonly tableCheck: Pick<TableCheck, "confirm">;
  /** Called with the store revision of a change of claims made here. */
  readonly onClaimsChange: (revision: number) => void;
  /** Bytes of jobs that are accepted at the same time; no bound by default. */
  readonly maxJobBytes?: number;
};

type Reader =
  | { readonly kind: "known"; readonly customer: string }
  | { readonly kind: "refused"; readonly fault: CallError };

const OK = 200;
const JOB_ID = /^[\w.-]{1,120}$/;

/** Serves the callers' job API from the metadata store. */
export class JobApi {
  readonly #parts: JobApiParts;
  readonly #cache: JobCache;
  readonly #reader: ResultsReader;
  readonly #acceptor: JobAcceptor;
  readonly #room: JobRoom;

  constructor(parts: JobApiParts) {
    this.#parts = parts;
    this.#room = new JobRoom(parts.maxJobBytes ?? Number.POSITIVE_INFINITY);
    this.#cache = new JobCache(parts.store);
    this.#acceptor = new JobAcceptor({ ...parts, cache: this.#cache });
    this.#reader = new ResultsReader(parts);
  }

  /** Returns how many jobs were refused for their customer's backlog. */
  countOverLimit(): number {
    return this.#acceptor.countOverLimit();
  }

  /** Accepts a job; repeated submissions of the same id are idempotent. */
  async accept(
    route: Route,
    customer: RouteCustomer | undefined,
    head: CallHead,
    body: Buffer,
    reply: CallReply,
  ): Promise<void> {
    const bytes = body.length + INTAKE_CONSTANTS.REQUEST_OVERHEAD;
    if (!this.#room.canWait(bytes)) {
      reply.sendError(callErrors.crowded());
      return;
    }
    const work = async (): Promise<void> => {
      if (reply.isConnected()) {
        await this.#accept(route, customer, head, body, reply);
      }
    };
    await this.#room.run(bytes, work, reply.onWritten);
  }

  async #accept(
    route: Route,
    customer: RouteCustomer | undefined,
    head: CallHead,
    body: Buffer,
    reply: CallReply,
  ): Promise<void> {
    const { requestId } = head;
    if (requestId === undefined || !JOB_ID.test(requestId)) {
      reply.sendError(
        callErrors.badRequest("no_job_id", "the job has no valid id"),
      );
      return;
    }
    const items = this.#parts.dialect.parseJob(body);
    if (items.kind === "unreadable") {
      reply.sendError(callErrors.badRequest("bad_job", items.reason));
      return;
    }
    if (items.value.length > BATCHES.MAX_ITEMS_PER_JOB) {
      reply.sendError(
        callErrors.tooLarge(`over ${BATCHES.MAX_ITEMS_PER_JOB} items`),
      );
      return;
    }
    const { value } = items;
    const { dialect, view } = this.#parts;
    const error = checkItems(value, {
      dialect,
      host: route.host,
      customer: customer?.name ?? "",
      headerBytes:
        view.table?.config.limits.headerBytes ?? Number.POSITIVE_INFINITY,
    });
    if (error !== undefined) {
      const job = { id: requestId, customer: customer?.name ?? "" };
      await refuseNewJob(job, this.#cache, error, reply);
      return;
    }
    await this.#acceptor.submit(requestId, route, customer, value, reply);
  }

  /** Answers a call about an existing job. */
  async answer(call: JobCall, head: CallHead, reply: CallReply): Promise<void> {
    if (call.kind === "malformed") {
      reply.sendError(callErrors.badRequest("bad_call", call.reason));
      return;
    }
    const reader = await this.#authenticate(head);
    if (reader.kind === "refused") {
      reply.sendError(reader.fault);
      return;
    }
    const found = await this.#cache.find(call.jobId);
    if (found.kind === "failed") {
      reply.sendError(callErrors.notReady(found.reason));
      return;
    }
    if (found.kind === "none" || found.job.customer !== reader.customer) {
      reply.sendError(callErrors.notFound("no_job", "there is no such job"));
      return;
    }
    await this.#answerFor(found.job, call, head, reply);
  }

  /** Finds whose jobs the key may read, in the newest configuration. */
  async #authenticate({ key }: CallHead): Promise<Reader> {
    const known = this.#findReader(key);
    if (known !== undefined) {
      return { kind: "known", customer: known };
    }
    const isSure = await this.#parts.tableCheck.confirm(
      missingNames.buildKeyName(key ?? ""),
    );
    const customer = this.#findReader(key);
    if (customer !== undefined) {
      return { kind: "known", customer };
    }
    const fault = isSure
      ? callErrors.unknownKey()
      : callErrors.configUncertain();
    return { kind: "refused", fault };
  }

  #findReader(key: string | undefined): string | undefined {
    const { table } = this.#parts.view;
    return table === undefined ? undefined : authenticateReader(table, key);
  }

  async #answerFor(
    job: BatchJob,
    call: Exclude<JobCall, { kind: "malformed" }>,
    head: CallHead,
    reply: CallReply,
  ): Promise<void> {
    switch (call.kind) {
      case "read":
        await this.#answerResults(job, call.after, head.waitMs, reply);
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

  async #answerResults(
    job: BatchJob,
    after: number,
    maxWaitMs: number,
    reply: CallReply,
  ): Promise<void> {
    const { dialect } = this.#parts;
    const read = await this.#reader.read(job, after, maxWaitMs);
    if (read.kind === "failed") {
      reply.sendError(callErrors.notReady(read.reason));
      return;
    }
    const { results } = read;
    const text = dialect.encodeResults({
      total: job.itemIds.length,
      next: after + results.length,
      results,
    });
    reply.sendResponse(
      buildResponseHead(OK, "application/json"),
      Buffer.from(text),
    );
  }

  async #answerBody(
    job: BatchJob,
    itemId: string,
    reply: CallReply,
  ): Promise<void> {
    const index = job.itemIds.indexOf(itemId);
    const chunk = job.chunkStarts.findLastIndex((start) => start <= index);
    if (index === -1 || chunk === -1) {
      reply.sendError(callErrors.notFound("no_item", "there is no such item"));
      return;
    }
    const key = batchKeys.chunk(job.id, chunk);
    const read = await readImmutable(this.#parts.store, key);
    if (read.kind === "failed") {
      reply.sendError(callErrors.notReady(read.reason));
      return;
    }
    const items =
      read.item === undefined
        ? undefined
        : batchRecords.decodeChunk(read.item.value);
    const item = items?.find(({ id }) => id === itemId);
    if (item === undefined) {
      reply.sendError(callErrors.notReady("the item's record can't be read"));
      return;
    }
    reply.sendResponse(
      buildResponseHead(OK, "application/octet-stream"),
      Buffer.from(item.body, "base64"),
    );
  }

  /**
   * Ends a job by removing its claim, without which no result can be listed.
   */
  async #answerEnd(job: BatchJob, reply: CallReply): Promise<void> {
    const { store, log, onClaimsChange } = this.#parts;
    const end = async (attemptsLeft: number): Promise<void> => {
      const outcome = await store.commit({
        expect: [],
        set: [],
        remove: [batchKeys.claim(job.id), backlogKeys.openJob(job, job.id)],
      });
      if (outcome.kind === "committed") {
        log.info("job-ended-by-caller", { jobId: job.id });
        onClaimsChange(outcome.revision);
        reply.sendResponse(buildResponseHead(OK), Buffer.alloc(0));
      } else if (attemptsLeft > 0 && reply.isConnected()) {
        await waitMs(JOB_CONSTANTS.WRITE_RETRY_DELAY_MS);
        await end(attemptsLeft - 1);
      } else {
        reply.sendError(callErrors.timedOut("the store did not answer", true));
      }
    };
    await end(JOB_CONSTANTS.MAX_ACCEPT_ATTEMPTS - 1);
  }
}

function buildResponseHead(status: number, type?: string) {
  const rawHeaders = type === undefined ? [] : ["Content-Type", type];
  return {
    status,
    headers: {},
    rawHeaders,
    isEventStream: false,
    isCloseDelimited: false,
  };
}
