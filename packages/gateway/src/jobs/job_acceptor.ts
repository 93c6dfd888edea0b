import {
  assertNever,
  type BatchItem,
  type BatchJob,
  batchKeys,
  DUTIES,
  type EventLog,
  type MetadataCommit,
  type MetadataItem,
  type MetadataStore,
  type Route,
  type RouteCustomer,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { callErrors } from "../requests/call_errors.ts";
import type { CallReply } from "../requests/types.ts";
import { waitMs } from "../wait_ms.ts";
import { ACCEPTED_HEAD } from "./accepted_head.ts";
import {
  type BacklogReservation,
  BacklogTracker,
  type LimitedJob,
} from "./backlog_tracker.ts";
import { buildJob } from "./build_job.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import { countEntries } from "./count_entries.ts";
import { countTokens } from "./count_tokens.ts";
import type { JobCache } from "./job_cache.ts";

type AcceptorParts = {
  readonly view: FleetView;
  readonly store: MetadataStore;
  readonly log: EventLog;
  readonly cache: JobCache;
  /** Called with the store revision of a change of claims made here. */
  readonly onClaimsChange: (revision: number) => void;
};

/** A submitted job, with the commit that accepts it. */
type Submission = LimitedJob & {
  readonly commit: MetadataCommit;
  readonly reply: CallReply;
};

/** State of a submission between two attempts to commit it. */
type AttemptState = {
  readonly failuresLeft: number;
  readonly conflictsLeft: number;
  /** Whether an earlier commit may still take effect. */
  readonly isUncertain: boolean;
  /** Records that the last commit failed on. */
  readonly conflict: readonly MetadataItem[] | undefined;
};

/**
 * Accepts jobs, each in one commit; repeated submissions of the same id are
 * idempotent. On a route with a limit the commit also replaces the ledger of
 * the customer's backlog.
 */
export class JobAcceptor {
  readonly #parts: AcceptorParts;
  readonly #backlogs: BacklogTracker;
  #writes = 0;
  #overLimit = 0;

  constructor(parts: AcceptorParts) {
    this.#parts = parts;
    const { store, log, view } = parts;
    const readNowMs = (): number => view.readNowMs();
    this.#backlogs = new BacklogTracker({ store, log, readNowMs });
  }

  /** Returns how many jobs were refused for their customer's backlog. */
  countOverLimit(): number {
    return this.#overLimit;
  }

  async submit(
    id: string,
    route: Route,
    customer: RouteCustomer | undefined,
    items: readonly BatchItem[],
    reply: CallReply,
  ): Promise<void> {
    const { view } = this.#parts;
    this.#writes += 1;
    const configRevision = view.table?.config.revision ?? 0;
    const { job, commit } = buildJob({
      id,
      customer: customer?.name ?? "",
      route,
      configRevision,
      items,
      submittedAtMs: Date.now(),
      workers: view.members.list(DUTIES.run),
      writer: `${view.settings.instanceId}/${view.incarnation}/${this.#writes}`,
    });
    if (countEntries(commit) > JOB_CONSTANTS.MAX_ACCEPT_ENTRIES) {
      reply.sendError(callErrors.tooLarge("the job's items are too large"));
      return;
    }
    const submission = {
      job,
      commit,
      reply,
      tokens: countTokens(items),
      limit: route.maxBacklogTokens,
      configRevision,
    };
    await this.#attempt(submission, {
      failuresLeft: JOB_CONSTANTS.MAX_ACCEPT_ATTEMPTS - 1,
      conflictsLeft: JOB_CONSTANTS.MAX_LEDGER_CONFLICTS,
      isUncertain: false,
      conflict: undefined,
    });
  }

  async #attempt(submission: Submission, state: AttemptState): Promise<void> {
    if (submission.limit === 0) {
      await this.#commit(submission, submission.commit, state);
      return;
    }
    const reserved = await this.#backlogs.reserve(submission, state.conflict);
    switch (reserved.kind) {
      case "reserved": {
        const { commit } = submission;
        const limited = {
          ...commit,
          expect: [...commit.expect, reserved.expect],
          set: [...commit.set, reserved.set],
        };
        await this.#commit(submission, limited, state);
        return;
      }
      case "over":
      case "never":
        await this.#refuse(submission, reserved, state);
        return;
      case "failed":
        await this.#retryOrFail(submission, state);
        return;
      default:
        assertNever(reserved);
    }
  }

  async #commit(
    submission: Submission,
    commit: MetadataCommit,
    state: AttemptState,
  ): Promise<void> {
    const { job, reply } = submission;
    const outcome = await this.#parts.store.commit(commit);
    switch (outcome.kind) {
      case "committed":
        this.#parts.cache.add(job);
        this.#parts.onClaimsChange(outcome.revision);
        this.#parts.log.info("job-accepted", {
          jobId: job.id,
          items: job.itemIds.length,
          tokens: submission.tokens,
        });
        reply.sendResponse(ACCEPTED_HEAD, Buffer.alloc(0));
        return;
      case "conflict":
        await this.#settleConflict(submission, outcome.items, state);
        return;
      case "lease-gone":
      case "failed": {
        const hasNoEffect = outcome.kind === "failed" && outcome.isUndone;
        const isUncertain = state.isUncertain || !hasNoEffect;
        await this.#retryOrFail(submission, { ...state, isUncertain });
        return;
      }
      default:
        assertNever(outcome);
    }
  }

  /**
   * Handles a failed precondition: either the job stands already, or another
   * acceptance has replaced the ledger. Then the job is decided anew, and no
   * earlier commit of it can take effect any more.
   */
  async #settleConflict(
    submission: Submission,
    items: readonly MetadataItem[],
    state: AttemptState,
  ): Promise<void> {
    const { job, limit, reply } = submission;
    const stands = items.some(({ key }) => key === batchKeys.job(job.id));
    if (stands || limit === 0) {
      await this.#answerDuplicate(job, reply);
      return;
    }
    if (state.conflictsLeft === 0 || !reply.isConnected()) {
      this.#fail(submission, false);
      return;
    }
    await waitMs(Math.random() * JOB_CONSTANTS.LEDGER_RETRY_DELAY_MS);
    await this.#attempt(submission, {
      ...state,
      conflictsLeft: state.conflictsLeft - 1,
      isUncertain: false,
      // Without any record the answer could not be read.
      conflict: items.length === 0 ? undefined : items,
    });
  }

  async #retryOrFail(
    submission: Submission,
    state: AttemptState,
  ): Promise<void> {
    if (state.failuresLeft > 0 && submission.reply.isConnected()) {
      await waitMs(JOB_CONSTANTS.WRITE_RETRY_DELAY_MS);
      await this.#attempt(submission, {
        ...state,
        failuresLeft: state.failuresLeft - 1,
        conflict: undefined,
      });
      return;
    }
    this.#fail(submission, state.isUncertain);
  }

  #fail({ job, reply }: Submission, isUncertain: boolean): void {
    this.#parts.log.warn("job-not-accepted", {
      jobId: job.id,
      mayStand: isUncertain,
    });
    reply.sendError(
      isUncertain
        ? callErrors.timedOut("the store did not answer", true)
        : callErrors.notReady("the store is not reached"),
    );
  }

  /**
   * Refuses a job that does not fit. One that was accepted before counts in the
   * backlog itself, and is answered as a duplicate.
   */
  async #refuse(
    submission: Submission,
    refusal: Extract<BacklogReservation, { kind: "over" | "never" }>,
    state: AttemptState,
  ): Promise<void> {
    const { job, reply, tokens, limit } = submission;
    const found = await this.#parts.cache.find(job.id);
    if (found.kind === "found") {
      await this.#answerDuplicate(job, reply);
      return;
    }
    if (found.kind === "failed" || state.isUncertain) {
      this.#fail(submission, state.isUncertain);
      return;
    }
    const { customer } = job;
    this.#overLimit += 1;
    const about = { jobId: job.id, customer, tokens, limit };
    if (refusal.kind === "never") {
      this.#parts.log.info("job-over-limit", about);
      reply.sendError(callErrors.backlogTooSmall());
      return;
    }
    const { waiting, ageMs, availableInMs } = refusal;
    const error = callErrors.backlogFull(availableInMs);
    const { retryAfterMs } = error;
    this.#parts.log.info("job-over-limit", {
      ...about,
      waiting,
      ageMs: Math.round(ageMs),
      retryAfterMs,
    });
    reply.sendError(error);
  }

  /** Accepts a duplicate submission only from the customer of the job. */
  async #answerDuplicate(job: BatchJob, reply: CallReply): Promise<void> {
    const found = await this.#parts.cache.find(job.id);
    if (found.kind === "failed") {
      reply.sendError(callErrors.timedOut("the store did not answer", true));
      return;
    }
    const isOwn = found.kind === "found" && found.job.customer === job.customer;
    if (isOwn) {
      reply.sendResponse(ACCEPTED_HEAD, Buffer.alloc(0));
    } else {
      reply.sendError(
        callErrors.badRequest("job_id_taken", "the job's id is taken"),
      );
    }
  }
}
