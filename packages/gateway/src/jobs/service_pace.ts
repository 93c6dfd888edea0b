import { updateMeanSlots } from "@gooseberryline/core";
import { JOB_CONSTANTS } from "./constants.ts";

type Pace = {
  /** Moving average of the run times of items, as at a usual upstream, in ms. */
  readonly meanRunMs: number;
  /** Moving average of their tokens; undefined at first. */
  readonly meanTokens: number | undefined;
  /** Moving average of slots for this worker's items; undefined at first. */
  readonly slots: number | undefined;
};

const INITIAL: Pace = {
  meanRunMs: JOB_CONSTANTS.INITIAL_MEAN_RUN_MS,
  meanTokens: undefined,
  slots: undefined,
};

/** Tracks how fast items of each service are run here. */
export class ServicePace {
  readonly #paces = new Map<string, Pace>();

  get(service: string): Pace {
    return this.#paces.get(service) ?? INITIAL;
  }

  /**
   * Records that an item has completed after a run that takes `ranMs` at a usual
   * upstream.
   */
  recordRun(service: string, ranMs: number, tokens: number): void {
    const pace = this.get(service);
    const { meanRunMs, meanTokens = tokens } = pace;
    const weight = JOB_CONSTANTS.MEAN_RUN_WEIGHT;
    this.#paces.set(service, {
      ...pace,
      meanRunMs: meanRunMs + (ranMs - meanRunMs) * weight,
      meanTokens: meanTokens + (tokens - meanTokens) * weight,
    });
  }

  /** Records how many of a service's items run and wait after a round. */
  recordRound(service: string, running: number, waiting: number): void {
    const pace = this.get(service);
    const slots = updateMeanSlots(pace.slots, { running, waiting });
    this.#paces.set(service, { ...pace, slots });
  }
}
