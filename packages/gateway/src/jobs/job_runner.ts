import {
  type BatchResult,
  batchKeys,
  DUTIES,
  type MetadataEvent,
  type MetadataStore,
  shouldClaim,
} from "@gooseberryline/core";
import type { AttemptParts } from "../requests/attempt.ts";
import { batchRecords } from "./batch_records.ts";
import { ClaimRegistry, type KnownClaim } from "./claim_registry.ts";
import { JOB_TIMES } from "./constants.ts";
import { ItemPool } from "./item_pool.ts";
import { loadJob } from "./load_job.ts";
import { OwnedJob } from "./owned_job.ts";
import { TextSaver } from "./text_saver.ts";

type RunnerParts = AttemptParts & { readonly store: MetadataStore };

/** Claims open jobs and runs their items. */
export class JobRunner {
  readonly #parts: RunnerParts;
  readonly #claims = new ClaimRegistry();
  readonly #owned = new Map<string, OwnedJob>();
  /** Dropped jobs: peers are still told of those that are whole. */
  readonly #dropped = new Map<string, { owned: OwnedJob; untilMs: number }>();
  /** Jobs with a claim or a read under way. */
  readonly #busy = new Set<string>();
  readonly #pool: ItemPool;
  readonly #saver: TextSaver;
  #timer: NodeJS.Timeout | undefined;
  #yieldTimer: NodeJS.Timeout | undefined;
  #isReleasing = false;

  constructor(parts: RunnerParts) {
    this.#parts = parts;
    const onResult = (jobId: string, index: number, result: BatchResult) =>
      this.#owned.get(jobId)?.addResult(index, result);
    this.#pool = new ItemPool({ ...parts, onResult });
    this.#saver = new TextSaver({
      ...parts,
      listTexts: () => this.#pool.listTexts(),
      getOwned: (jobId) => this.#owned.get(jobId),
      countWorkers: () => parts.view.members.list(DUTIES.run).length,
    });
  }

  start(): void {
    this.#timer = setInterval(() => this.#step(), JOB_TIMES.TICK_MS);
    this.#saver.start();
  }

  /** Takes back soon what online work needs, as peers tell it. */
  noteLoad(): void {
    this.#yieldTimer ??= setTimeout(() => {
      this.#yieldTimer = undefined;
      this.#pool.yieldItems();
    }, JOB_TIMES.YIELD_MS);
  }

  /** Takes a change of a claim. */
  noteClaim(event: MetadataEvent): void {
    const gone = this.#claims.note(event);
    if (gone !== undefined) {
      this.#drop(gone);
    }
  }

  countRunning(): number {
    return this.#pool.countRunning();
  }

  /** How many results of each own job are listed, for peers. */
  listListed(): Readonly<Record<string, number>> {
    const nowMs = this.#parts.view.readNowMs();
    [...this.#dropped]
      .filter(([, { untilMs }]) => untilMs <= nowMs)
      .forEach(([id]) => {
        this.#dropped.delete(id);
      });
    const dropped = [...this.#dropped].map(([id, { owned }]) => ({
      id,
      owned,
    }));
    const held = [...this.#owned].map(([id, owned]) => ({ id, owned }));
    return Object.fromEntries(
      [...dropped, ...held].flatMap(({ id, owned }) => {
        const count = owned.countListed();
        return count === undefined ? [] : [[id, count]];
      }),
    );
  }

  /** Hands all jobs back, and claims none until `resumeClaims`. */
  async releaseAll(): Promise<void> {
    this.#isReleasing = true;
    await this.#saver.saveAll();
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
    this.#claims.list().forEach((known) => {
      this.#follow(known);
    });
    this.#pool.step();
  }

  #follow(known: KnownClaim): void {
    const { jobId } = known;
    if (this.#busy.has(jobId) || this.#isReleasing) {
      return;
    }
    const isOwn = this.#isOwn(known);
    const owned = this.#owned.get(jobId);
    if (owned !== undefined) {
      const isSame = owned.loaded.claimRevision === known.revision;
      if (!isOwn || !isSame) {
        this.#drop(jobId);
      }
    } else if (isOwn) {
      void this.#take(known);
    } else if (this.#shouldClaim(known)) {
      void this.#claim(known);
    }
  }

  #isOwn({ claim }: KnownClaim): boolean {
    const { settings, incarnation } = this.#parts.view;
    return (
      claim.owner === settings.instanceId && claim.incarnation === incarnation
    );
  }

  #shouldClaim({ jobId, claim }: KnownClaim): boolean {
    const { view } = this.#parts;
    const runners = view.members.list(DUTIES.run);
    const isOwned = runners.some(
      ({ id, incarnation }) =>
        id === claim.owner && incarnation === claim.incarnation,
    );
    const nowMs = view.readNowMs();
    const unownedMs = this.#claims.countUnownedMs(jobId, isOwned, nowMs);
    const self = {
      id: view.settings.instanceId,
      incarnation: view.incarnation,
    };
    return shouldClaim(jobId, claim, self, runners, unownedMs);
  }

  async #claim({ jobId, claim, revision }: KnownClaim): Promise<void> {
    const { store, view, log } = this.#parts;
    const key = batchKeys.claim(jobId);
    const taken = {
      ...claim,
      owner: view.settings.instanceId,
      incarnation: view.incarnation,
    };
    this.#busy.add(jobId);
    // A lost answer shows in the watch: the claim then is this instance's.
    const done = await store.commit({
      expect: [{ key, revision }],
      set: [{ key, value: batchRecords.encode(taken) }],
      remove: [],
    });
    this.#busy.delete(jobId);
    if (done.kind === "committed") {
      log.info("job-claimed", { jobId, from: claim.owner });
    }
  }

  async #take({ jobId, claim, revision }: KnownClaim): Promise<void> {
    const { store, log, view } = this.#parts;
    this.#busy.add(jobId);
    const loaded = await loadJob(store, jobId, claim, revision);
    this.#busy.delete(jobId);
    const isStill = this.#claims.get(jobId)?.revision === revision;
    if (loaded === undefined || !isStill || this.#isReleasing) {
      log.warn("job-not-loaded", { jobId, isStill });
      return;
    }
    const writerName = `${view.settings.instanceId}/${view.incarnation}`;
    const onLost = (): void => this.#drop(jobId);
    const readNowMs = (): number => view.readNowMs();
    const parts = { store, log, readNowMs, writerName, onLost };
    this.#owned.set(jobId, new OwnedJob(loaded, parts));
    this.#pool.addJob(loaded);
  }

  async #release(jobId: string): Promise<void> {
    const owned = this.#owned.get(jobId);
    const isOver = owned?.isOver === true;
    this.#drop(jobId);
    if (owned === undefined || isOver) {
      return;
    }
    const key = batchKeys.claim(jobId);
    const { claim, claimRevision } = owned.loaded;
    const free = { ...claim, owner: "", incarnation: "" };
    // Without an answer the others find the owner gone a little later.
    await this.#parts.store.commit({
      expect: [{ key, revision: claimRevision }],
      set: [{ key, value: batchRecords.encode(free) }],
      remove: [],
    });
  }

  #drop(jobId: string): void {
    const owned = this.#owned.get(jobId);
    if (owned !== undefined) {
      const untilMs = this.#parts.view.readNowMs() + JOB_TIMES.TOLD_MS;
      this.#dropped.set(jobId, { owned, untilMs });
      owned.abandon();
    }
    this.#owned.delete(jobId);
    this.#pool.dropJob(jobId);
  }
}
