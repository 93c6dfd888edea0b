import type { InstanceId } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";
import { offerBatch } from "../jobs/offer_batch.ts";
import type { SoakAction, SoakJob } from "./types.ts";

/** The jobs of a randomised run; indices are taken modulo their number. */
export class SoakJobs {
  readonly #world: World;
  readonly #customers: readonly string[];
  readonly #jobs: SoakJob[] = [];

  constructor(world: World, customers: readonly string[]) {
    this.#world = world;
    this.#customers = customers;
  }

  get list(): readonly SoakJob[] {
    return this.#jobs;
  }

  offer(
    action: Extract<SoakAction, { kind: "job" }>,
    instanceId: InstanceId | undefined,
  ): void {
    const { items, isIdempotent } = action;
    const customer = this.#customers[action.customer % this.#customers.length];
    const spec = offerBatch(this.#world, {
      name: `job${this.#jobs.length}`,
      itemCount: items,
      isIdempotent,
      at: instanceId,
      ...(customer === undefined ? {} : { customer }),
    });
    this.#jobs.push({ spec, isCancelled: false });
  }

  offerAgain(index: number, instanceId: InstanceId | undefined): void {
    const job = this.#jobs[this.#computeIndex(index)];
    if (job !== undefined) {
      const { jobId: name, customer, itemCount, isIdempotent } = job.spec;
      offerBatch(this.#world, {
        name,
        customer,
        itemCount,
        isIdempotent,
        at: instanceId,
      });
    }
  }

  cancel(index: number, instanceId: InstanceId | undefined): void {
    const jobIndex = this.#computeIndex(index);
    const job = this.#jobs[jobIndex];
    if (job !== undefined && instanceId !== undefined) {
      const { jobId, customer } = job.spec;
      this.#jobs[jobIndex] = { ...job, isCancelled: true };
      this.#world.dispatch(instanceId, {
        kind: "job-cancel-asked",
        jobId,
        customer,
      });
    }
  }

  #computeIndex(index: number): number {
    return index % Math.max(1, this.#jobs.length);
  }
}
