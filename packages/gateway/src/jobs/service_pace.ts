import { updateMeanSlots } from "@gooseberryline/core";
import { JOB_CONSTANTS } from "./constants.ts";

type Pace = {
  /** Moving average of the run times of items, in ms. */
  readonly meanRunMs: number;
  /** Moving average of slots for this worker's items; undefined at first. */
  readonly slots: number | undefined;
};

const INITIAL: Pace = {
  meanRunMs: JOB_CONSTANTS.INITIAL_MEAN_RUN_MS,
  slots: undefined,
};

/** Tracks how fast items of each service are run here. */
export class ServicePace {
  readonly #paces = new Map<string, Pace>();

  get(service: string): Pace {
    return this.#paces.get(service) ?? INITIAL;
  }

  /** Records that an item has completed after running for `ranMs`. */
  recordRun(service: string, ranMs: number): void {
    const { meanRunMs, slots } = this.get(service);
    const change = (ranMs - meanRunMs) * JOB_CONSTANTS.MEAN_RUN_WEIGHT;
    this.#paces.set(service, { meanRunMs: meanRunMs + change, slots });
  }

  /** Records how many of a service's items run and wait after a round. */
  recordRound(service: string, running: number, waiting: number): void {
    const { meanRunMs, slots } = this.get(service);
    const updated = updateMeanSlots(slots, { running, waiting });
    this.#paces.set(service, { meanRunMs, slots: updated });
  }
}
