import {
  assertNever,
  type DataCentreId,
  type InstanceId,
  type UpstreamId,
} from "@gooseberryline/core";
import { World, type WorldOptions } from "@gooseberryline/fakes";
import { buildOrder } from "../world/build_order.ts";
import { buildWorldConfig } from "../world/build_world_config.ts";
import { generateArrivals } from "../world/generate_arrivals.ts";
import { isolate } from "./isolate.ts";
import { pickWrapped } from "./pick_wrapped.ts";
import { SoakJobs } from "./soak_jobs.ts";
import type { SoakAction, SoakJob } from "./types.ts";

const DATA_CENTRES = ["a", "b", "c"] as const;
const CUSTOMERS = ["c1", "c2", "c3", "c4"] as const;
const BURST_MS = 1_000;
const PROBE_GAP_MS = 100;
const LIST_LAG_MS = 15_000;
const STOP_NOTICE_MS = 2_000;
const MS_PER_SECOND = 1_000;

/** Each customer's rate limit, and a replacement for the core's step. */
export type FleetOptions = {
  readonly seed: number;
  readonly step?: WorldOptions["step"] | undefined;
  readonly rate?: number;
  readonly burst?: number;
};

/** A simulated fleet of the current production size; actions apply to it. */
export class SoakFleet {
  readonly world: World;
  /** Highest limits of each customer across all revisions. */
  readonly limits: Record<string, { rate: number; burst: number }>;
  readonly #jobs: SoakJobs;
  readonly #killed: { id: InstanceId; dataCentre: DataCentreId }[] = [];
  #requestSeed = 1;

  constructor({ seed, step, rate = 20, burst = 10 }: FleetOptions) {
    this.limits = Object.fromEntries(
      CUSTOMERS.map((id) => [id, { rate, burst }]),
    );
    this.world = new World({
      seed,
      document: buildWorldConfig({
        dataCentres: DATA_CENTRES,
        upstreamsPerDataCentre: 2,
        customers: CUSTOMERS,
        rate,
        burst,
        concurrency: 8,
      }),
      instances: { a: 2, b: 2, c: 2 },
      ...(step === undefined ? {} : { step }),
    });
    this.#jobs = new SoakJobs(this.world, CUSTOMERS);
  }

  /** Returns the jobs offered so far. */
  get jobs(): readonly SoakJob[] {
    return this.#jobs.list;
  }

  apply(action: SoakAction): void {
    const { world } = this;
    switch (action.kind) {
      case "wait":
        world.runFor(action.ms);
        return;
      case "requests":
        this.#sendRequests(action);
        return;
      case "kill":
        this.#kill(action.instance);
        return;
      case "restart":
        this.#restart();
        return;
      case "pause":
        this.#pause(action.instance, action.ms);
        return;
      case "stop":
        this.#stop(action.instance);
        return;
      case "cut-instance":
        isolate(world, this.#instance(action.instance), world.instanceIds);
        return;
      case "cut-data-centre":
        isolate(
          world,
          pickWrapped(DATA_CENTRES, action.dataCentre),
          DATA_CENTRES,
        );
        return;
      case "cut-platform":
        world.network.cut(
          pickWrapped(DATA_CENTRES, action.dataCentre),
          "platform",
        );
        return;
      case "heal":
        world.network.healAll();
        world.network.setLoss(0);
        world.store.setFaults({ isDown: false, delayMs: 2 });
        world.engines.forEach((engine) => {
          engine.setFault({ cutShare: 0 });
        });
        return;
      case "loss":
        world.network.setLoss(action.share);
        return;
      case "store-down":
        world.store.setFaults({ isDown: true });
        world.queue.schedule(action.ms, () => {
          world.store.setFaults({ isDown: false });
        });
        return;
      case "store-slow":
        world.store.setFaults({ delayMs: action.delayMs });
        return;
      case "store-loses-answers":
        world.store.setFaults({ loseAnswers: action.count });
        return;
      case "engine-cold":
        this.#engine(action.engine)?.startCold();
        return;
      case "engine-silent":
        this.#setEngineFault(action, { isSilent: true }, { isSilent: false });
        return;
      case "engine-down":
        this.#setEngineFault(action, { isDown: true }, { isDown: false });
        return;
      case "engine-cuts":
        this.#engine(action.engine)?.setFault({ cutShare: 0.2 });
        return;
      case "data-centre":
        this.#setDataCentreState(action.dataCentre, action.state);
        return;
      case "rate":
        this.#changeCustomer(action.customer, { rate: action.rate });
        return;
      case "withdraw-key":
        this.#changeCustomer(action.customer, { keys: [] });
        return;
      case "job":
        this.#jobs.offer(action, this.#instance(action.instance));
        return;
      case "resend-job":
        this.#jobs.offerAgain(action.job, this.#instance(action.job));
        return;
      case "cancel-job":
        this.#jobs.cancel(action.job, this.#instance(action.job));
        return;
      default:
        assertNever(action);
    }
  }

  /** Ends every fault and runs the fleet for `restMs` so that it settles. */
  settle(restMs: number): void {
    this.#endFaults();
    this.world.runFor(restMs);
  }

  /** Schedules one request of each customer to each instance. */
  sendProbes(): void {
    CUSTOMERS.forEach((customer, column) => {
      this.world.instanceIds.forEach((id, row) => {
        this.#requestSeed += 1;
        const delayMs = PROBE_GAP_MS * (column + CUSTOMERS.length * row);
        this.world.queue.schedule(delayMs, () => this.#sendProbe(customer, id));
      });
    });
  }

  #sendProbe(customer: string, id: InstanceId): void {
    this.world.submitRequest(
      id,
      buildOrder(
        { customer, profile: "counter", deadlineMs: 8_000 },
        {
          workId: `probe-${customer}-${id}`,
          world: this.world,
        },
      ),
    );
  }

  #endFaults(): void {
    this.apply({ kind: "heal" });
    this.world.engines.forEach((engine) => {
      engine.setFault({ isSilent: false, isDown: false });
    });
    this.world.store.setFaults({ loseAnswers: 0 });
  }

  #sendRequests(action: Extract<SoakAction, { kind: "requests" }>): void {
    this.#requestSeed += 1;
    generateArrivals(this.world, {
      seed: this.#requestSeed,
      customer: pickWrapped(CUSTOMERS, action.customer),
      profile: action.profile,
      rate: (action.count * MS_PER_SECOND) / BURST_MS,
      untilMs: this.world.nowMs + BURST_MS,
      deadlineMs: 8_000,
    });
  }

  #instance(index: number): InstanceId | undefined {
    const ids = this.world.instanceIds;
    return ids[index % Math.max(1, ids.length)];
  }

  #engine(index: number) {
    const ids = [...this.world.engines.keys()];
    return this.world.engines.get(pickWrapped(ids, index) as UpstreamId);
  }

  #kill(index: number): void {
    const id = this.#instance(index);
    if (id !== undefined && this.world.instanceIds.length > 1) {
      const dataCentre = id.split("-")[0] as DataCentreId;
      this.world.kill(id);
      this.#killed.push({ id, dataCentre });
      this.#dropFromList(id);
    }
  }

  /**
   * Unlists an instance some time after its process has ended, as the platform
   * does.
   */
  #dropFromList(id: InstanceId): void {
    this.world.queue.schedule(LIST_LAG_MS, () => {
      if (this.world.instanceIds.includes(id)) {
        this.#dropFromList(id);
      } else {
        this.world.setListed(id, "gone");
      }
    });
  }

  #restart(): void {
    const next = this.#killed.shift();
    if (next !== undefined) {
      this.world.start(next.id, next.dataCentre);
    }
  }

  #pause(index: number, ms: number): void {
    const id = this.#instance(index);
    if (id !== undefined) {
      this.world.pause(id);
      this.world.queue.schedule(ms, () => this.world.resume(id));
    }
  }

  #stop(index: number): void {
    const id = this.#instance(index);
    if (id !== undefined) {
      this.world.stop(id, STOP_NOTICE_MS);
      this.#dropFromList(id);
    }
  }

  #setEngineFault(
    { engine: index, ms }: { readonly engine: number; readonly ms: number },
    fault: { readonly isSilent?: boolean; readonly isDown?: boolean },
    recovery: { readonly isSilent?: boolean; readonly isDown?: boolean },
  ): void {
    const engine = this.#engine(index);
    engine?.setFault(fault);
    this.world.queue.schedule(ms, () => engine?.setFault(recovery));
  }

  #setDataCentreState(index: number, state: "in" | "out"): void {
    const { document } = this.world.config;
    const id = pickWrapped(DATA_CENTRES, index);
    const dataCentres = { ...document.dataCentres, [id]: { state } };
    this.world.setConfig({ ...document, dataCentres });
  }

  #changeCustomer(
    index: number,
    change: { readonly rate?: number; readonly keys?: [] },
  ): void {
    const { document } = this.world.config;
    const id = pickWrapped(CUSTOMERS, index);
    const base = document.customers[id];
    if (base !== undefined) {
      const customers = { ...document.customers, [id]: { ...base, ...change } };
      const rate = Math.max(this.limits[id]?.rate ?? 0, change.rate ?? 0);
      this.limits[id] = { rate, burst: base.burst };
      this.world.setConfig({ ...document, customers });
    }
  }
}
