import {
  assertNever,
  type BatchResult,
  countItemsToYield,
  decideItemStep,
  ITEM_RESULTS,
  orderItems,
  updateMeanSlots,
} from "@gooseberryline/core";
import type { AttemptParts } from "../requests/attempt.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import { ItemPlacer } from "./item_placer.ts";
import { ItemRun } from "./item_run.ts";
import { listItemParts } from "./list_item_parts.ts";
import type { LoadedJob } from "./owned_job.ts";
import type { ItemRunEnd, WaitingItem } from "./types.ts";

type PoolParts = AttemptParts & {
  readonly onResult: (
    jobId: string,
    index: number,
    result: BatchResult,
  ) => void;
};

/** An item of an owned job; `run` is set while it is in flight. */
type PoolItem = {
  readonly waiting: WaitingItem;
  readonly run: ItemRun | undefined;
};

/** Schedules the items of the owned jobs: waiting ones and those in flight. */
export class ItemPool {
  readonly #parts: PoolParts;
  readonly #placer: ItemPlacer;
  readonly #jobs = new Map<string, LoadedJob>();
  #waiting: readonly WaitingItem[] = [];
  readonly #running = new Set<ItemRun>();
  #meanRunMs: number = JOB_CONSTANTS.INITIAL_MEAN_RUN_MS;
  /** Moving average of slots for this worker's items; undefined at first. */
  #slots: number | undefined;

  constructor(parts: PoolParts) {
    this.#parts = parts;
    this.#placer = new ItemPlacer(parts.view);
  }

  addJob(loaded: LoadedJob): void {
    const { job, items, claim, listed, texts } = loaded;
    this.#jobs.set(job.id, loaded);
    const added = items
      .map((item, index) => {
        const text = texts.get(index);
        return {
          jobId: job.id,
          index,
          dueAtMs: claim.dueAtMs,
          ranMs: text?.ranMs ?? 0,
          item,
          promptParts: listItemParts(item, this.#parts.dialect),
          text: text ?? { texts: [], lastEventId: undefined },
          failures: 0,
          tried: new Set<string>(),
          notBeforeMs: 0,
        };
      })
      .filter(({ index }) => !listed.includes(index));
    this.#waiting = [...this.#waiting, ...added];
  }

  /** Drops a job's items and stops their runs. */
  dropJob(jobId: string): void {
    this.#jobs.delete(jobId);
    this.#waiting = this.#waiting.filter((item) => item.jobId !== jobId);
    [...this.#running]
      .filter(({ waiting }) => waiting.jobId === jobId)
      .forEach((run) => {
        run.stop("this instance no longer owns the job");
      });
  }

  /** Returns the items with partial output, waiting or running. */
  listItemsWithText(): readonly WaitingItem[] {
    const running = [...this.#running].map((run) => run.describe());
    return [...this.#waiting, ...running].filter(
      ({ text }) => text.lastEventId !== undefined,
    );
  }

  countRunning(): number {
    return this.#running.size;
  }

  /** Yields slots needed by online requests, then starts items in free ones. */
  step(): void {
    this.yieldItems();
    const nowMs = this.#parts.view.readNowMs();
    const isReady = ({ notBeforeMs }: WaitingItem) => notBeforeMs <= nowMs;
    // The placer treats all items alike, so the first that has to wait ends the
    // round.
    this.#orderAll()
      .flatMap(({ waiting, run }) => (run === undefined ? [waiting] : []))
      .filter(isReady)
      .every((item) => this.#startItem(item));
    this.#slots = updateMeanSlots(this.#slots, {
      running: this.#running.size,
      waiting: this.#waiting.filter(isReady).length,
    });
    this.#parts.view.load.waitingItems = this.#waiting.length;
  }

  /** Returns all items, ordered by their priority for slots. */
  #orderAll(): readonly PoolItem[] {
    const items = [
      ...this.#waiting.map((waiting) => ({ waiting, run: undefined })),
      ...[...this.#running].map((run) => ({ waiting: run.describe(), run })),
    ].map((item) => {
      const { index, dueAtMs, ranMs } = item.waiting;
      return { ...item, index, dueAtMs, ranMs };
    });
    return orderItems(items, {
      nowMs: Date.now(),
      meanRunMs: this.#meanRunMs,
      slots: this.#slots,
    });
  }

  #startItem(waiting: WaitingItem): boolean {
    const loaded = this.#jobs.get(waiting.jobId);
    if (loaded === undefined) {
      return true;
    }
    const { host, customer } = loaded.job;
    const placement = this.#placer.place(waiting, loaded.job);
    switch (placement.kind) {
      case "wait":
        return false;
      case "no-route":
        this.#dropWaiting(waiting);
        this.#reportErrored(
          waiting,
          "no route leads to a service for the item",
        );
        return true;
      case "placed": {
        this.#dropWaiting(waiting);
        const { upstream, text } = placement;
        const run: ItemRun = new ItemRun({ ...waiting, text }, upstream, {
          ...this.#parts,
          host,
          customer,
          onEnd: (end) => this.#handleRunEnd(run, end),
        });
        this.#running.add(run);
        return true;
      }
      default:
        return assertNever(placement);
    }
  }

  #dropWaiting(waiting: WaitingItem): void {
    this.#waiting = this.#waiting.filter((other) => other !== waiting);
  }

  /** Yields slots at overloaded upstreams, the items that rank last first. */
  yieldItems(): void {
    const runs = [...this.#running];
    const overloaded = [...new Set(runs.map(({ upstream }) => upstream.id))]
      .map((id) => runs.filter(({ upstream }) => upstream.id === id))
      .map((atUpstream) => ({
        own: atUpstream,
        count: this.#countYields(atUpstream),
      }))
      .filter(({ count }) => count > 0);
    if (overloaded.length === 0) {
      return;
    }
    const ordered = this.#orderAll().flatMap(({ run }) => run ?? []);
    overloaded.forEach(({ own: atUpstream, count }) => {
      ordered
        .filter((run) => atUpstream.includes(run))
        .slice(atUpstream.length - count)
        .forEach((run) => {
          run.yieldSlot();
        });
    });
  }

  /** Returns how many of these runs, all at one upstream, have to yield. */
  #countYields(runs: readonly ItemRun[]): number {
    const { load, settings } = this.#parts.view;
    const nowMs = this.#parts.view.readNowMs();
    const [first] = runs;
    if (first === undefined) {
      return 0;
    }
    const { upstream: entry } = first;
    const open = load.countInFlight(entry.id, nowMs);
    const workerId = settings.instanceId;
    return countItemsToYield({ entry, open }, workerId, [
      { workerId, items: runs.length },
      ...load.listPeerItems(entry.id, nowMs),
    ]);
  }

  #handleRunEnd(run: ItemRun, end: ItemRunEnd): void {
    this.#running.delete(run);
    const { waiting } = run;
    const loaded = this.#jobs.get(waiting.jobId);
    if (loaded === undefined) {
      return;
    }
    const { maxAttempts } = loaded.job;
    const step = decideItemStep(end, waiting.failures, maxAttempts);
    this.#logEnd(run, end, step.kind);
    switch (step.kind) {
      case "list-completed": {
        const ranMs = waiting.ranMs + run.measureRunMs();
        this.#meanRunMs +=
          (ranMs - this.#meanRunMs) * JOB_CONSTANTS.MEAN_RUN_WEIGHT;
        const text = end.text.texts.join("\n");
        const state = ITEM_RESULTS.completed;
        this.#list(waiting, { id: waiting.item.id, state, text });
        return;
      }
      case "list-errored":
        this.#reportErrored(waiting, step.reason);
        return;
      case "run-again":
        this.#requeue(run, end, step.failures);
        return;
      default:
        assertNever(step);
    }
  }

  #requeue(run: ItemRun, end: ItemRunEnd, failures: number): void {
    const { waiting, upstream } = run;
    const nowMs = this.#parts.view.readNowMs();
    const next = {
      ...waiting,
      text: end.text,
      ranMs: waiting.ranMs + run.measureRunMs(),
      failures,
      tried: run.isYielded ? waiting.tried : new Set([upstream.id]),
      // A yielded run did not fail, so it may restart at once and anywhere.
      notBeforeMs: run.isYielded
        ? 0
        : nowMs + JOB_CONSTANTS.ITEM_RETRY_DELAY_MS,
    };
    this.#waiting = [...this.#waiting, next];
  }

  #reportErrored(waiting: WaitingItem, reason: string): void {
    this.#parts.log.info("item-errored", {
      jobId: waiting.jobId,
      itemId: waiting.item.id,
      reason,
    });
    const state = ITEM_RESULTS.errored;
    this.#list(waiting, { id: waiting.item.id, state, text: "" });
  }

  #list({ jobId, index }: WaitingItem, result: BatchResult): void {
    this.#parts.onResult(jobId, index, result);
  }

  #logEnd(run: ItemRun, end: ItemRunEnd, step: string): void {
    this.#parts.log.info("item-run-ended", {
      jobId: run.waiting.jobId,
      itemId: run.waiting.item.id,
      upstream: run.upstream.id,
      end: end.kind,
      reason: "reason" in end ? end.reason : undefined,
      status: "status" in end ? end.status : undefined,
      events: end.text.texts.length,
      ranMs: Math.round(run.measureRunMs()),
      step,
    });
  }
}
