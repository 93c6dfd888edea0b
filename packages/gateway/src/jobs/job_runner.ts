import {
  type BatchResult,
  batchKeys,
  DUTIES,
  type MetadataEvent,
  type MetadataStore,
  shouldClaimJob,
} from "@gooseberryline/core";
import type { AttemptParts } from "../requests/attempt.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { runStep } from "../steps/run_step.ts";
import { batchRecords } from "./batch_records.ts";
import { ClaimRegistry, type ObservedClaim } from "./claim_registry.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import { ItemPool } from "./item_pool.ts";
import { loadJob } from "./load_job.ts";
import { OwnedJob } from "./owned_job.ts";
import { persistFinished } from "./persist_finished.ts";
import { readClaim } from "./read_claim.ts";
import { TextSaver } from "./text_saver.ts";

type RunnerParts = AttemptParts & { readonly store: MetadataStore };

/** Claims unfinished jobs and runs their items. */
export class JobRunner {
  readonly #parts: RunnerParts;
  readonly #claims: ClaimRegistry;
  readonly #owned = new Map<string, OwnedJob>();
  /**
   * Recently dropped jobs; the result counts of complete ones are still
   * reported to peers.
   */
  readonly #recentlyDropped = new Map<
    string,
    { owned: OwnedJob; untilMs: number }
  >();
  /** Jobs that are being claimed or loaded. */
  readonly #pendingJobs = new Set<string>();
  readonly #pool: ItemPool;
  readonly #saver: TextSaver;
  #timer: NodeJS.Timeout | undefined;
  #yieldTimer: NodeJS.Timeout | undefined;
  #isReleasing = false;
  #loads = 0;

  constructor(parts: RunnerParts) {
    this.#parts = parts;
    this.#claims = new ClaimRegistry(parts.log);
    const onResult = (jobId: string, index: number, result: BatchResult) =>
      this.#owned.get(jobId)?.addResult(index, result);
    this.#pool = new ItemPool({ ...parts, onResult });
    this.#saver = new TextSaver({
      ...parts,
      listItemsWithText: () => this.#pool.listItemsWithText(),
      getOwned: (jobId) => this.#owned.get(jobId),
      onConflict: (jobIds) =>
        jobIds.forEach((jobId) => {
          void this.#runSlowStep("read-claim", jobId, () =>
            this.#updateClaim(jobId),
          );
        }),
      countWorkers: () => parts.view.members.list(DUTIES.run).length,
    });
  }

  start(): void {
    this.#timer = setInterval(() => this.#step(), JOB_CONSTANTS.TICK_MS);
    this.#saver.start();
  }

  /** Schedules the yielding of slots after a change of a peer's load. */
  handleLoadChange(): void {
    this.#yieldTimer ??= setTimeout(() => {
      this.#yieldTimer = undefined;
      this.#pool.yieldItems();
    }, JOB_CONSTANTS.YIELD_DEBOUNCE_MS);
  }

  /**
   * Applies a change of a claim, which the watch or a read has shown; drops a job
   * whose claim was removed.
   */
  handleClaimEvent(event: MetadataEvent): void {
    const removedJobId = this.#claims.applyEvent(event);
    if (removedJobId !== undefined) {
      this.#drop(removedJobId);
    }
  }

  countRunning(): number {
    return this.#pool.countRunning();
  }

  /** Returns the number of listed results of each owned job, for peers. */
  listResultCounts(): Readonly<Record<string, number>> {
    const nowMs = this.#parts.view.readNowMs();
    [...this.#recentlyDropped]
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .forEach(([id]) => {
        this.#recentlyDropped.delete(id);
      });
    const dropped = [...this.#recentlyDropped].map(([id, { owned }]) => ({
      id,
      owned,
    }));
    const current = [...this.#owned].map(([id, owned]) => ({ id, owned }));
    return Object.fromEntries(
      [...dropped, ...current].flatMap(({ id, owned }) => {
        const count = owned.countListed();
        return count === undefined ? [] : [[id, count]];
      }),
    );
  }

  /** Releases all claims and takes none until `resumeClaims`. */
  async releaseAll(): Promise<void> {
    this.#isReleasing = true;
    await this.#saver.persistAll();
    const ids = [...this.#owned.keys()];
    await Promise.all(ids.map((id) => this.#release(id)));
  }

  resumeClaims(): void {
    this.#isReleasing = false;
  }

  stop(): void {
    this.#saver.stop();
    clearInterval(this.#timer);
    clearTimeout(this.#yieldTimer);
    [...this.#owned.keys()].forEach((id) => {
      this.#drop(id);
    });
  }

  #step(): void {
    const { log } = this.#parts;
    this.#claims.list().forEach((observed) => {
      runStep(log, { step: "claim", key: observed.jobId }, () =>
        this.#updateOwnership(observed),
      );
    });
    runStep(log, { step: "place-items" }, () => this.#pool.step());
  }

  #runSlowStep(
    step: string,
    key: string,
    run: () => Promise<unknown>,
  ): Promise<unknown> {
    return runSlowStep(this.#parts.log, { step, key }, run);
  }

  /** Runs a step on a job that no other step may touch meanwhile. */
  async #runAlone(
    step: string,
    { jobId }: ObservedClaim,
    run: () => Promise<void>,
  ): Promise<void> {
    this.#pendingJobs.add(jobId);
    await this.#runSlowStep(step, jobId, run);
    this.#pendingJobs.delete(jobId);
  }

  #updateOwnership(observed: ObservedClaim): void {
    const { jobId } = observed;
    if (this.#pendingJobs.has(jobId) || this.#isReleasing) {
      return;
    }
    const isOwn = this.#isOwn(observed);
    const owned = this.#owned.get(jobId);
    if (owned !== undefined) {
      const isSameClaim = owned.loaded.claimRevision === observed.revision;
      if (!isOwn || !isSameClaim) {
        this.#drop(jobId);
      }
    } else if (isOwn) {
      void this.#runAlone("load-job", observed, () =>
        this.#loadOwnedJob(observed),
      );
    } else if (this.#shouldClaim(observed)) {
      void this.#runAlone("claim", observed, () => this.#claim(observed));
    }
  }

  #isOwn({ claim }: ObservedClaim): boolean {
    const { settings, incarnation } = this.#parts.view;
    return (
      claim.owner === settings.instanceId && claim.incarnation === incarnation
    );
  }

  #shouldClaim({ jobId, claim }: ObservedClaim): boolean {
    const { view } = this.#parts;
    const runners = view.members.list(DUTIES.run);
    const isOwned = runners.some(
      ({ id, incarnation }) =>
        id === claim.owner && incarnation === claim.incarnation,
    );
    const nowMs = view.readNowMs();
    const unownedMs = this.#claims.measureUnownedMs(jobId, isOwned, nowMs);
    const self = {
      id: view.settings.instanceId,
      incarnation: view.incarnation,
    };
    return shouldClaimJob(jobId, claim, self, runners, unownedMs);
  }

  async #claim({ jobId, claim, revision }: ObservedClaim): Promise<void> {
    const { store, view, log } = this.#parts;
    const key = batchKeys.claim(jobId);
    const ownClaim = {
      ...claim,
      owner: view.settings.instanceId,
      incarnation: view.incarnation,
    };
    // If the answer is lost, the watch shows the claim as this instance's.
    const outcome = await store.commit({
      expect: [{ key, revision }],
      set: [{ key, value: batchRecords.encode(ownClaim) }],
      remove: [],
    });
    if (outcome.kind === "committed") {
      log.info("job-claimed", { jobId, from: claim.owner });
    }
  }

  async #loadOwnedJob({
    jobId,
    claim,
    revision,
  }: ObservedClaim): Promise<void> {
    const { store, log, view } = this.#parts;
    const [loaded, isRead] = await Promise.all([
      loadJob(store, jobId, claim, revision, this.#claims.recordLoad(jobId)),
      this.#updateClaim(jobId),
    ]);
    const isUnchanged = this.#claims.get(jobId)?.revision === revision;
    const canOwn = isRead && isUnchanged && !this.#isReleasing;
    if (loaded === undefined || !canOwn) {
      log.warn("job-not-loaded", { jobId, isStill: isUnchanged });
      return;
    }
    const readable = loaded.items.size;
    const total = loaded.job.itemIds.length;
    if (readable < total) {
      log.warn("items-unreadable", { jobId, readable, total });
    }
    // A job that is loaded again must not take an earlier load's write for its own.
    this.#loads += 1;
    const { instanceId } = view.settings;
    const writerName = `${instanceId}/${view.incarnation}/${this.#loads}`;
    const onLost = (): void => this.#drop(jobId);
    const readNowMs = (): number => view.readNowMs();
    const parts = { store, log, readNowMs, writerName, onLost };
    this.#owned.set(jobId, new OwnedJob(loaded, parts));
    this.#pool.addJob(loaded);
  }

  /** Reads a claim, as the watch may be behind; returns whether it was read. */
  async #updateClaim(jobId: string): Promise<boolean> {
    const present = await readClaim(this.#parts.store, jobId);
    if (present !== undefined) {
      this.handleClaimEvent(present);
    }
    return present !== undefined;
  }

  async #release(jobId: string): Promise<void> {
    const owned = this.#owned.get(jobId);
    await persistFinished(owned);
    const isEnded = owned?.isEnded === true;
    this.#drop(jobId);
    if (owned === undefined || isEnded) {
      return;
    }
    const key = batchKeys.claim(jobId);
    const { claim, claimRevision } = owned.loaded;
    const releasedClaim = { ...claim, owner: "", incarnation: "" };
    // If the write fails, peers claim the job once they see its owner is gone.
    await this.#parts.store.commit({
      expect: [{ key, revision: claimRevision }],
      set: [{ key, value: batchRecords.encode(releasedClaim) }],
      remove: [],
    });
  }

  #drop(jobId: string): void {
    const owned = this.#owned.get(jobId);
    if (owned !== undefined) {
      const untilMs =
        this.#parts.view.readNowMs() + JOB_CONSTANTS.RESULT_COUNT_REPORT_MS;
      this.#recentlyDropped.set(jobId, { owned, untilMs });
      owned.abandon();
    }
    this.#owned.delete(jobId);
    this.#pool.dropJob(jobId);
  }
}
