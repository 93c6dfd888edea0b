import {
  BACKLOG,
  type BacklogDrain,
  type BacklogLedger,
  type BatchJob,
  backlogKeys,
  decideBacklogAdmission,
  type EventLog,
  estimateDrainMs,
  type MetadataFailure,
  type MetadataItem,
  type MetadataStore,
  updateBacklogDrain,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import { batchRecords } from "./batch_records.ts";
import { JOB_CONSTANTS } from "./constants.ts";

type TrackerParts = {
  readonly store: MetadataStore;
  readonly log: EventLog;
  /** Returns the time of the monotonic clock, in ms. */
  readonly readNowMs: () => number;
};

/** A job to be accepted under a limit on its customer's backlog. */
export type LimitedJob = {
  readonly job: BatchJob;
  readonly tokens: number;
  /** Maximum backlog, in tokens. */
  readonly limit: number;
  readonly configRevision: number;
};

/** What a job's commit has to add so that its customer's limit holds. */
export type BacklogReservation =
  | {
      readonly kind: "reserved";
      readonly expect: { readonly key: string; readonly revision: number };
      readonly set: { readonly key: string; readonly value: Buffer };
    }
  | {
      readonly kind: "over";
      /** Backlog on which the job was refused, in tokens, and its age. */
      readonly waiting: number;
      readonly ageMs: number;
      /** Time until the job is expected to fit, in ms. */
      readonly availableInMs: number;
    }
  | { readonly kind: "never" }
  | MetadataFailure;

type MeasuredBacklog = {
  readonly waiting: number;
  readonly atMs: number;
  readonly drain: BacklogDrain;
};

type KnownLedger = {
  readonly revision: number;
  readonly ledger: BacklogLedger | undefined;
};

type MeasureResult =
  | { readonly kind: "measured"; readonly tokens: number }
  | MetadataFailure;

/**
 * Reserves room in customers' backlogs. All acceptances of a customer on a
 * route replace the same ledger record, so that none is decided on a state that
 * another has changed; what completes meanwhile only makes room.
 */
export class BacklogTracker {
  readonly #parts: TrackerParts;
  /** Last measurement of each backlog, by the key of its ledger. */
  readonly #measured = new Map<string, MeasuredBacklog>();

  constructor(parts: TrackerParts) {
    this.#parts = parts;
  }

  /**
   * Decides whether a job fits. `conflict` holds the records that an earlier
   * commit of the job failed on, if any.
   */
  async reserve(
    limited: LimitedJob,
    conflict?: readonly MetadataItem[],
  ): Promise<BacklogReservation> {
    const key = backlogKeys.ledger(limited.job);
    const recent = this.#findRecent(key);
    if (
      recent !== undefined &&
      recent.waiting + limited.tokens > limited.limit
    ) {
      return this.#decide(limited, undefined, recent.waiting);
    }
    const known =
      conflict === undefined
        ? await this.#readLedger(key)
        : findLedger(key, conflict);
    if ("kind" in known) {
      return known;
    }
    const decision = decideBacklogAdmission({
      ...limited,
      ledger: known.ledger,
      measured: undefined,
    });
    if (decision.kind !== "measure") {
      return this.#decide(limited, known, undefined);
    }
    const measured = await this.#measure(limited.job);
    if (measured.kind === "failed") {
      return measured;
    }
    this.#recordMeasured(key, measured.tokens, known.ledger?.accepted ?? 0);
    return this.#decide(limited, known, measured.tokens);
  }

  #decide(
    limited: LimitedJob,
    known: KnownLedger | undefined,
    measured: number | undefined,
  ): BacklogReservation {
    const key = backlogKeys.ledger(limited.job);
    const ledger = known?.ledger;
    const decision = decideBacklogAdmission({ ...limited, ledger, measured });
    switch (decision.kind) {
      case "accept": {
        const value = batchRecords.encode(decision.ledger);
        const expect = { key, revision: known?.revision ?? 0 };
        return { kind: "reserved", expect, set: { key, value } };
      }
      case "over":
        return this.#buildRefusal(key, limited, decision.excess);
      case "measure":
      case "never":
        return { kind: "never" };
    }
  }

  #buildRefusal(
    key: string,
    { job }: LimitedJob,
    excess: number,
  ): BacklogReservation {
    const nowMs = this.#parts.readNowMs();
    const measured = this.#measured.get(key);
    const waiting = measured?.waiting ?? 0;
    const sample = { atMs: nowMs, waiting, accepted: waiting };
    const drain = measured?.drain ?? updateBacklogDrain(undefined, sample);
    const { dueMs } = job;
    return {
      kind: "over",
      waiting,
      ageMs: nowMs - (measured?.atMs ?? nowMs),
      availableInMs: estimateDrainMs({ waiting, excess, drain, dueMs }),
    };
  }

  #findRecent(key: string): MeasuredBacklog | undefined {
    const measured = this.#measured.get(key);
    const isRecent =
      measured !== undefined &&
      this.#parts.readNowMs() - measured.atMs < BACKLOG.MEASURE_REUSE_MS;
    return isRecent ? measured : undefined;
  }

  #recordMeasured(key: string, waiting: number, accepted: number): void {
    const atMs = this.#parts.readNowMs();
    const drain = updateBacklogDrain(this.#measured.get(key)?.drain, {
      atMs,
      waiting,
      accepted,
    });
    addRecentEntry(
      this.#measured,
      key,
      { waiting, atMs, drain },
      JOB_CONSTANTS.MAX_CACHED_JOBS,
    );
  }

  /**
   * Reads the ledger; a stale one is good enough, since a commit based on it
   * fails and reports the current one.
   */
  async #readLedger(key: string): Promise<KnownLedger | MetadataFailure> {
    const read = await this.#parts.store.readKey(key, { mayBeStale: true });
    return read.kind === "failed" ? read : parseLedger(read.item);
  }

  /** Adds up the open parts of the customer's jobs on the route. */
  async #measure(job: BatchJob, after?: string): Promise<MeasureResult> {
    const { store, log } = this.#parts;
    const page = await store.listPage(backlogKeys.openJobs(job), after);
    if (page.kind === "failed") {
      return page;
    }
    const tokens = page.items
      .map(({ key, value }) => {
        const backlog = batchRecords.decodeJobBacklog(value);
        if (backlog === undefined) {
          log.warn("backlog-unreadable", { key });
        }
        return backlog?.tokens ?? 0;
      })
      .reduce((sum, count) => sum + count, 0);
    const last = page.items.at(-1);
    if (!page.hasMore || last === undefined) {
      return { kind: "measured", tokens };
    }
    const rest = await this.#measure(job, last.key);
    return rest.kind === "failed"
      ? rest
      : { kind: "measured", tokens: tokens + rest.tokens };
  }
}

function findLedger(key: string, items: readonly MetadataItem[]): KnownLedger {
  return parseLedger(items.find((item) => item.key === key));
}

/** An unreadable ledger counts as unknown, so that the backlog is measured. */
function parseLedger(item: MetadataItem | undefined): KnownLedger {
  return {
    revision: item?.revision ?? 0,
    ledger:
      item === undefined ? undefined : batchRecords.decodeLedger(item.value),
  };
}
