import {
  assertNever,
  type BatchResult,
  decideItemStep,
  ITEM_RESULTS,
} from "@gooseberryline/core";
import type { AttemptParts } from "../requests/attempt.ts";
import { buildNextRun } from "./build_next_run.ts";
import { buildWaitingItems } from "./build_waiting_items.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import { describeUrgency } from "./describe_urgency.ts";
import {
  type ItemLocation,
  type ItemPlacement,
  ItemPlacer,
} from "./item_placer.ts";
import { ItemRun } from "./item_run.ts";
import { listOverloads } from "./list_overloads.ts";
import { type LocatedItem, listQueues } from "./list_queues.ts";
import { logRunEnd } from "./log_run_end.ts";
import { logUnstarted } from "./log_unstarted.ts";
import { moveItems } from "./move_items.ts";
import { orderPoolItems, type PoolItem } from "./order_pool_items.ts";
import type { LoadedJob } from "./owned_job.ts";
import { ServicePace } from "./service_pace.ts";
import type { ItemRunEnd, WaitingItem } from "./types.ts";

type PoolParts = AttemptParts & {
  readonly onResult: (
    jobId: string,
    index: number,
    result: BatchResult,
  ) => void;
};

/** Schedules the items of the owned jobs: waiting ones and those in flight. */
export class ItemPool {
  readonly #parts: PoolParts;
  readonly #placer: ItemPlacer;
  readonly #jobs = new Map<string, LoadedJob>();
  #waiting: readonly WaitingItem[] = [];
  readonly #running = new Set<ItemRun>();
  readonly #pace = new ServicePace();

  constructor(parts: PoolParts) {
    this.#parts = parts;
    this.#placer = new ItemPlacer(parts.view);
  }

  addJob(loaded: LoadedJob): void {
    this.#jobs.set(loaded.job.id, loaded);
    const added = buildWaitingItems(loaded, this.#parts.dialect);
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

  /**
   * Yields slots needed by online requests, then starts items in free ones. Each
   * service has a round of its own, so that none waits for another's upstreams.
   */
  step(): void {
    this.yieldItems();
    moveItems(this.#parts.view.rollouts, [...this.#running]);
    const located = this.#locateAll();
    this.#settleUnplaceable(located);
    const queues = listQueues(located);
    const running = [...this.#running].map(({ upstream }) => upstream.service);
    new Set([...queues.keys(), ...running]).forEach((service) => {
      this.#stepService(service, queues.get(service) ?? []);
    });
    const { load } = this.#parts.view;
    load.waitingItems = this.#waiting.length;
    load.waitingServices = [...queues.keys()];
  }

  #stepService(service: string, queue: readonly WaitingItem[]): void {
    const nowMs = this.#parts.view.readNowMs();
    const ready = queue.filter(({ notBeforeMs }) => notBeforeMs <= nowMs);
    const hasRoom = ready.length > 0 && this.#placer.hasRoom(service);
    const started = hasRoom ? this.#startItems(service, queue, ready) : 0;
    const running = this.#listRuns(service).length;
    this.#pace.recordRound(service, running, ready.length - started);
  }

  /** Starts ready items of a service by their priority; returns how many. */
  #startItems(
    service: string,
    queue: readonly WaitingItem[],
    ready: readonly WaitingItem[],
  ): number {
    const before = this.#running.size;
    const isReady = new Set(ready);
    const nowMs = Date.now();
    const pace = this.#pace.get(service);
    /** Versions whose upstreams have no room for the texts that they wrote. */
    const full = new Set<string>();
    // What one item of a service waits for, the next ones wait for as well.
    this.#order(service, queue)
      .flatMap(({ waiting, run }) => (run === undefined ? [waiting] : []))
      .filter((waiting) => isReady.has(waiting))
      .every((waiting) => {
        const { origin } = waiting.text;
        if (origin !== undefined && full.has(origin.version)) {
          return true;
        }
        const urgency = describeUrgency(waiting, pace, nowMs);
        const placement = this.#placer.place(waiting, service, urgency);
        if (placement.kind === "placed") {
          this.#startItem(waiting, placement);
        } else if (placement.version !== undefined) {
          full.add(placement.version);
        }
        return placement.kind === "placed" || placement.version !== undefined;
      });
    return this.#running.size - before;
  }

  #locateAll(): readonly LocatedItem[] {
    return this.#waiting.map((waiting) => ({
      waiting,
      location: this.#locate(waiting),
    }));
  }

  /**
   * Lists as errored the items that no route leads to any more, and asks for the
   * configuration that others wait for.
   */
  #settleUnplaceable(located: readonly LocatedItem[]): void {
    if (located.some(({ location }) => location.kind === "unknown")) {
      this.#parts.view.onConfigBehind();
    }
    located
      .filter(({ location }) => location.kind === "no-route")
      .forEach(({ waiting }) => {
        this.#dropWaiting(waiting);
        this.#reportErrored(
          waiting,
          "no route leads to a service for the item",
        );
      });
  }

  #locate({ jobId, item }: WaitingItem): ItemLocation {
    const loaded = this.#jobs.get(jobId);
    return loaded === undefined
      ? { kind: "unknown" }
      : this.#placer.locate(item, loaded.job);
  }

  /** Returns the items of a service, ordered by their priority for slots. */
  #order(service: string, queue: readonly WaitingItem[]): readonly PoolItem[] {
    const pace = this.#pace.get(service);
    return orderPoolItems(queue, this.#listRuns(service), pace);
  }

  #listRuns(service: string): readonly ItemRun[] {
    return [...this.#running].filter(
      ({ upstream }) => upstream.service === service,
    );
  }

  #startItem(
    waiting: WaitingItem,
    { upstream, text }: Extract<ItemPlacement, { kind: "placed" }>,
  ): void {
    const loaded = this.#jobs.get(waiting.jobId);
    if (loaded === undefined) {
      return;
    }
    const { host, customer } = loaded.job;
    this.#dropWaiting(waiting);
    try {
      const run: ItemRun = new ItemRun({ ...waiting, text }, upstream, {
        ...this.#parts,
        host,
        customer,
        onEnd: (end) => this.#handleRunEnd(run, end),
      });
      this.#running.add(run);
    } catch (error) {
      logUnstarted(this.#parts.log, waiting, upstream.id, error);
      const delayMs = JOB_CONSTANTS.UNBUILT_RETRY_DELAY_MS;
      const notBeforeMs = this.#parts.view.readNowMs() + delayMs;
      this.#waiting = [...this.#waiting, { ...waiting, notBeforeMs }];
    }
  }

  #dropWaiting(waiting: WaitingItem): void {
    this.#waiting = this.#waiting.filter((other) => other !== waiting);
  }

  /** Yields slots at overloaded upstreams, the items that rank last first. */
  yieldItems(): void {
    const { view } = this.#parts;
    const overloads = listOverloads(view, [...this.#running]);
    if (overloads.length === 0) {
      return;
    }
    const queues = listQueues(this.#locateAll());
    overloads.forEach(({ service, runs, count }) => {
      this.#order(service, queues.get(service) ?? [])
        .flatMap(({ run }) => run ?? [])
        .filter((run) => runs.includes(run))
        .slice(runs.length - count)
        .forEach((run) => {
          run.yieldSlot();
        });
    });
  }

  #handleRunEnd(run: ItemRun, end: ItemRunEnd): void {
    this.#running.delete(run);
    const { waiting } = run;
    const loaded = this.#jobs.get(waiting.jobId);
    if (loaded === undefined) {
      return;
    }
    const { maxAttempts, submittedAtMs, retentionMs } = loaded.job;
    const isExpired = Date.now() >= submittedAtMs + retentionMs;
    const outcome = end.kind === "unbuilt" ? { ...end, isExpired } : end;
    const step = decideItemStep(outcome, waiting.failures, maxAttempts);
    logRunEnd(this.#parts.log, run, end, step.kind);
    switch (step.kind) {
      case "list-completed": {
        const { ranMs, item } = run.describe();
        this.#pace.recordRun(run.upstream.service, ranMs, item.tokens);
        const text = end.text.texts.join("\n");
        const state = ITEM_RESULTS.completed;
        this.#list(waiting, { id: waiting.item.id, state, text });
        return;
      }
      case "list-errored":
        this.#reportErrored(waiting, step.reason);
        return;
      case "run-again":
        this.#waiting = [
          ...this.#waiting,
          buildNextRun(run, end, step.failures, this.#parts.view.readNowMs()),
        ];
        return;
      default:
        assertNever(step);
    }
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
}
