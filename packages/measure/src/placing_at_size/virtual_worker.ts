import { canItemWait, type UpstreamEntry } from "@gooseberryline/core";
import {
  type FleetView,
  ItemPlacer,
  listOverloads,
  type WaitingItem,
} from "@gooseberryline/gateway";
import type { VirtualFleet } from "./virtual_fleet.ts";

const TICK_MS = 50;
const YIELD_DELAY_MS = 5;
const MIN_RUN_MS = 3_000;
const RUN_SPREAD_MS = 2_000;
const ITEMS_A_JOB = 10;
const DUE_MS = 18_000;
const MEAN_RUN_MS = 4_000;

type Item = {
  readonly leftMs: number;
  readonly ranMs: number;
  readonly dueAtMs: number;
};
type Run = {
  readonly item: Item;
  readonly upstream: UpstreamEntry;
  readonly startedMs: number;
  cancel: () => void;
  /** Its time relative to that at a usual upstream. */
  slowness: number;
};

/** Runs items as an instance that runs jobs does. */
export class VirtualWorker {
  readonly #fleet: VirtualFleet;
  readonly #view: FleetView;
  readonly #placer: ItemPlacer;
  readonly #runs = new Set<Run>();
  #waiting: readonly Item[] = [];
  #isYieldDue = false;

  constructor(fleet: VirtualFleet, view: FleetView) {
    this.#fleet = fleet;
    this.#view = view;
    this.#placer = new ItemPlacer(view);
    view.onPeerLoad = () => this.#yieldSoon();
  }

  start(): void {
    this.#fleet.clock.startTimer(this.#fleet.draw() * TICK_MS, () =>
      this.#step(),
    );
    this.#acceptJobs();
  }

  #acceptJobs(): void {
    const { itemRate, upstreams, workers } = this.#fleet.options;
    const rate = (itemRate * upstreams) / workers / ITEMS_A_JOB;
    this.#fleet.clock.startTimer(this.#fleet.drawGapMs(rate), () => {
      const items = Array.from({ length: ITEMS_A_JOB }, () => ({
        leftMs: MIN_RUN_MS + this.#fleet.draw() * RUN_SPREAD_MS,
        ranMs: 0,
        dueAtMs: this.#fleet.clock.nowMs + DUE_MS,
      }));
      this.#waiting = [...this.#waiting, ...items];
      this.#acceptJobs();
    });
  }

  #yieldSoon(): void {
    if (!this.#isYieldDue) {
      this.#isYieldDue = true;
      this.#fleet.clock.startTimer(YIELD_DELAY_MS, () => {
        this.#isYieldDue = false;
        this.#yieldItems();
      });
    }
  }

  #step(): void {
    this.#yieldItems();
    this.#startItems();
    const { load } = this.#view;
    load.waitingItems = this.#waiting.length;
    load.waitingServices = this.#waiting.length > 0 ? ["s"] : [];
    this.#fleet.clock.startTimer(TICK_MS, () => this.#step());
  }

  /** The items that ran least give way. */
  #yieldItems(): void {
    listOverloads(this.#view, [...this.#runs]).forEach(({ runs, count }) => {
      runs
        .toSorted((a, b) => b.startedMs - a.startedMs)
        .slice(0, count)
        .forEach((run) => {
          this.#cut(run);
        });
    });
  }

  #cut(run: Run): void {
    const upstream = this.#fleet.getUpstream(run.upstream.id);
    this.#fleet.counts.cutInVain += upstream.hasQueue() ? 0 : 1;
    run.cancel();
    this.#fleet.counts.cut += 1;
    this.#endRun(run);
    const passedMs = this.#fleet.clock.nowMs - run.startedMs;
    const ranMs = passedMs / run.slowness;
    const leftMs = Math.max(1, run.item.leftMs - ranMs);
    const item = { ...run.item, leftMs, ranMs: run.item.ranMs + ranMs };
    this.#waiting = [item, ...this.#waiting].toSorted(
      (a, b) => a.dueAtMs - b.dueAtMs || b.ranMs - a.ranMs,
    );
  }

  #startItems(): void {
    const [item] = this.#waiting;
    if (item === undefined || !this.#placer.hasRoom("s")) {
      return;
    }
    const { nowMs } = this.#fleet.clock;
    const canWait =
      this.#fleet.options.keepsHeadroom &&
      canItemWait(item, { nowMs, meanRunMs: MEAN_RUN_MS });
    const placement = this.#placer.place(NEW_ITEM, "s", {
      canWait,
      length: item.leftMs / MEAN_RUN_MS,
    });
    if (placement.kind === "placed") {
      this.#waiting = this.#waiting.slice(1);
      this.#startItem(item, placement.upstream);
      this.#startItems();
    }
  }

  #startItem(item: Item, entry: UpstreamEntry): void {
    const { clock, counts } = this.#fleet;
    const upstream = this.#fleet.getUpstream(entry.id);
    counts.itemRuns += 1;
    counts.itemsCrowded += upstream.isFull() ? 1 : 0;
    this.#view.recordSend(entry, "batch");
    const run: Run = {
      item,
      upstream: entry,
      startedMs: clock.nowMs,
      cancel: () => undefined,
      slowness: 1,
    };
    this.#runs.add(run);
    run.cancel = upstream.accept({
      runMs: item.leftMs,
      onBegin: (slowness) => {
        run.slowness = slowness;
      },
      onEnd: () => {
        this.#fleet.recordPace(this.#view, entry, run.slowness);
        counts.itemsDone += 1;
        counts.itemsMs += clock.nowMs - item.dueAtMs + DUE_MS;
        counts.itemsLate += item.dueAtMs < clock.nowMs ? 1 : 0;
        this.#endRun(run);
      },
    });
  }

  #endRun(run: Run): void {
    this.#runs.delete(run);
    this.#view.load.recordEnd(run.upstream.id, "batch");
  }
}

const NEW_ITEM: WaitingItem = {
  jobId: "j",
  index: 0,
  dueAtMs: 0,
  ranMs: 0,
  item: { id: "i", path: "/", headers: {}, body: "", tokens: 1 },
  promptParts: [],
  text: { texts: [], lastEventId: undefined },
  failures: 0,
  tried: new Set(),
  notBeforeMs: 0,
};
