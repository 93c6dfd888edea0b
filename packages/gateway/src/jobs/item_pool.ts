import {
  assertNever,
  type BatchResult,
  countItemYields,
  decideItemStep,
  ITEM_RESULTS,
  measureSlots,
  orderItems,
} from "@gooseberryline/core";
import type { AttemptParts } from "../requests/attempt.ts";
import { JOB_TIMES } from "./constants.ts";
import { ItemPlacer } from "./item_placer.ts";
import { ItemRun } from "./item_run.ts";
import type { LoadedJob } from "./owned_job.ts";
import type { ItemRunEnd, WaitingItem } from "./types.ts";

type PoolParts = AttemptParts & {
  readonly onResult: (
    jobId: string,
    index: number,
    result: BatchResult,
  ) => void;
};

/** An item of an owned job; `run` while it runs. */
type OwnItem = {
  readonly waiting: WaitingItem;
  readonly run: ItemRun | undefined;
};

/** Items of the owned jobs: waiting for an upstream, or running at one. */
export class ItemPool {
  readonly #parts: PoolParts;
  readonly #placer: ItemPlacer;
  readonly #jobs = new Map<string, LoadedJob>();
  #waiting: readonly WaitingItem[] = [];
  readonly #running = new Set<ItemRun>();
  #meanRunMs: number = JOB_TIMES.FIRST_RUN_MS;
  /** Slots that own items have on average. */
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
          text: text ?? { texts: [], lastEventId: undefined },
          failures: 0,
          tried: new Set<string>(),
          notBeforeMs: 0,
        };
      })
      .filter(({ index }) => !listed.includes(index));
    this.#waiting = [...this.#waiting, ...added];
  }

  /** Ends all work on a job. */
  dropJob(jobId: string): void {
    this.#jobs.delete(jobId);
    this.#waiting = this.#waiting.filter((item) => item.jobId !== jobId);
    [...this.#running]
      .filter(({ waiting }) => waiting.jobId === jobId)
      .forEach((run) => {
        run.interrupt("the job is no longer this instance's");
      });
  }

  /** Items of which there is some text, waiting or running. */
  listTexts(): readonly WaitingItem[] {
    const running = [...this.#running].map((run) => run.describe());
    return [...this.#waiting, ...running].filter(
      ({ text }) => text.lastEventId !== undefined,
    );
  }

  countRunning(): number {
    return this.#running.size;
  }

  /** Starts what there is room for, and takes back what online work needs. */
  step(): void {
    this.yieldItems();
    const nowMs = this.#parts.view.readNowMs();
    const isReady = ({ notBeforeMs }: WaitingItem) => notBeforeMs <= nowMs;
    // Items are alike to the placer, so the first that waits ends the round.
    this.#orderAll()
      .flatMap(({ waiting, run }) => (run === undefined ? [waiting] : []))
      .filter(isReady)
      .every((item) => this.#startItem(item));
    this.#slots = measureSlots(this.#slots, {
      running: this.#running.size,
      waiting: this.#waiting.filter(isReady).length,
    });
    this.#parts.view.load.waitingItems = this.#waiting.length;
  }

  /** All items, those that should have slots first. */
  #orderAll(): readonly OwnItem[] {
    const items = [
      ...this.#waiting.map((waiting) => ({ waiting, run: undefined })),
      ...[...this.#running].map((run) => ({ waiting: run.describe(), run })),
    ].map((own) => {
      const { index, dueAtMs, ranMs } = own.waiting;
      return { ...own, index, dueAtMs, ranMs };
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
    const placement = this.#placer.place(waiting, host);
    switch (placement.kind) {
      case "wait":
        return false;
      case "no-route":
        this.#removeWaiting(waiting);
        this.#listErrored(waiting, "its route is gone");
        return true;
      case "placed": {
        this.#removeWaiting(waiting);
        const run: ItemRun = new ItemRun(waiting, placement.upstream, {
          ...this.#parts,
          host,
          customer,
          onEnd: (end) => this.#takeEnd(run, end),
        });
        this.#running.add(run);
        return true;
      }
      default:
        return assertNever(placement);
    }
  }

  #removeWaiting(waiting: WaitingItem): void {
    this.#waiting = this.#waiting.filter((other) => other !== waiting);
  }

  /** Of the items at an upstream that online work crowds the last leave. */
  yieldItems(): void {
    const runs = [...this.#running];
    const yields = [...new Set(runs.map(({ upstream }) => upstream.id))]
      .map((id) => runs.filter(({ upstream }) => upstream.id === id))
      .map((own) => ({ own, count: this.#countYields(own) }))
      .filter(({ count }) => count > 0);
    if (yields.length === 0) {
      return;
    }
    const ordered = this.#orderAll().flatMap(({ run }) => run ?? []);
    yields.forEach(({ own, count }) => {
      ordered
        .filter((run) => own.includes(run))
        .slice(own.length - count)
        .forEach((run) => {
          run.yieldSlot();
        });
    });
  }

  /** How many of these items, all at one upstream, are to leave it. */
  #countYields(own: readonly ItemRun[]): number {
    const { load, settings } = this.#parts.view;
    const nowMs = this.#parts.view.readNowMs();
    const [first] = own;
    if (first === undefined) {
      return 0;
    }
    const { upstream: entry } = first;
    const open = load.countOpen(entry.id, nowMs);
    const workerId = settings.instanceId;
    return countItemYields({ entry, open }, workerId, [
      { workerId, items: own.length },
      ...load.listPeerItems(entry.id, nowMs),
    ]);
  }

  #takeEnd(run: ItemRun, end: ItemRunEnd): void {
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
        const ranMs = waiting.ranMs + run.countRanMs();
        this.#meanRunMs += (ranMs - this.#meanRunMs) * JOB_TIMES.RUN_WEIGHT;
        const text = end.text.texts.join("\n");
        const state = ITEM_RESULTS.completed;
        this.#list(waiting, { id: waiting.item.id, state, text });
        return;
      }
      case "list-errored":
        this.#listErrored(waiting, step.reason);
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
      ranMs: waiting.ranMs + run.countRanMs(),
      failures,
      tried: run.isYielded ? waiting.tried : new Set([upstream.id]),
      // One that only made room is not at fault and may start anywhere.
      notBeforeMs: run.isYielded ? 0 : nowMs + JOB_TIMES.RETRY_MS,
    };
    this.#waiting = [...this.#waiting, next];
  }

  #listErrored(waiting: WaitingItem, reason: string): void {
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
      ranMs: Math.round(run.countRanMs()),
      step,
    });
  }
}
