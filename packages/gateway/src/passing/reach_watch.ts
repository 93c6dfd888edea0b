import type { EventLog, UpstreamEntry } from "@gooseberryline/core";
import { checkPort } from "../exchange/check_port.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { PASSING } from "./constants.ts";

type ReachWatchParts = { readonly view: FleetView; readonly log: EventLog };

/**
 * Finds out when an instance that is cut off reaches upstreams again: one attempt
 * to connect at a time, each to another upstream. Sends nothing otherwise.
 */
export class ReachWatch {
  readonly #parts: ReachWatchParts;
  #timer: NodeJS.Timeout | undefined;
  /** Upstreams that were tried in this round. */
  readonly #tried = new Set<string>();

  constructor(parts: ReachWatchParts) {
    this.#parts = parts;
    parts.view.reach.onChange = (isCutOff) => this.#handleChange(isCutOff);
  }

  stop(): void {
    this.#parts.view.reach.onChange = () => undefined;
    clearTimeout(this.#timer);
  }

  #handleChange(isCutOff: boolean): void {
    const { view, log } = this.#parts;
    log.info("upstream-reach", { isCutOff });
    clearTimeout(this.#timer);
    this.#tried.clear();
    if (isCutOff) {
      this.#probe();
      return;
    }
    // What failed meanwhile says nothing of the upstreams.
    if (view.reach.isConfirmed) {
      view.load.listSuspects(view.readNowMs()).forEach((id) => {
        view.load.recordSuccess(id);
      });
    }
  }

  #probe(): void {
    const upstream = this.#choose();
    if (upstream !== undefined) {
      const about = { step: "check-upstream", key: upstream.id };
      void runSlowStep(this.#parts.log, about, () => this.#look(upstream));
    }
    const delayMs = PASSING.PROBE_INTERVAL_MS * (0.5 + Math.random());
    this.#timer = setTimeout(() => this.#probe(), delayMs);
  }

  async #look({ address }: UpstreamEntry): Promise<void> {
    const { reach } = this.#parts.view;
    reach.recordProbe((await checkPort(address)) === "open");
  }

  /** Chooses an upstream at random, first those that have not failed. */
  #choose(): UpstreamEntry | undefined {
    const { reach, directory } = this.#parts.view;
    const all = directory.listAll();
    const untried = all.filter(({ id }) => !this.#tried.has(id));
    if (untried.length === 0) {
      this.#tried.clear();
    }
    const left = untried.length === 0 ? all : untried;
    const sound = left.filter(({ id }) => !reach.hasFailed(id));
    const pool = sound.length > 0 ? sound : left;
    const chosen = pool[Math.floor(Math.random() * pool.length)];
    if (chosen !== undefined) {
      this.#tried.add(chosen.id);
    }
    return chosen;
  }
}
