import {
  CRASHES,
  type Crash,
  chooseCrashWitnesses,
  type EventLog,
} from "@gooseberryline/core";
import { checkPort } from "../exchange/check_port.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { runStep } from "../steps/run_step.ts";
import { CRASH_TIMES } from "./constants.ts";

type CrashWatchParts = { readonly view: FleetView; readonly log: EventLog };

/**
 * Looks whether upstreams are down that peers lost connections to, and reviews
 * recent crashes until it is known what they were.
 */
export class CrashWatch {
  readonly #parts: CrashWatchParts;
  #timer: NodeJS.Timeout | undefined;
  #untilMs = Number.NEGATIVE_INFINITY;
  #isStopped = false;

  constructor(parts: CrashWatchParts) {
    this.#parts = parts;
    const { view, log } = parts;
    view.crashes.onNewCrash = (crash) => this.#handleCrash(crash);
    view.crashes.onVerdict = ({ upstreamId, downAt, reachedAt }, verdict) => {
      log.info("upstream-verdict", {
        upstream: upstreamId,
        verdict,
        downAt: downAt.join(" "),
        reachedAt: reachedAt.join(" "),
      });
    };
  }

  stop(): void {
    this.#isStopped = true;
    clearTimeout(this.#timer);
  }

  #handleCrash(crash: Crash): void {
    const { view } = this.#parts;
    this.#untilMs = view.readNowMs() + CRASHES.LIFE_SIGN_MS;
    this.#reviewLater();
    const witnesses = chooseCrashWitnesses(crash, view.members.list());
    if (witnesses.includes(view.settings.instanceId)) {
      const about = { step: "check-upstream", key: crash.upstreamId };
      void runSlowStep(this.#parts.log, about, () => this.#look(crash));
    }
  }

  async #look(crash: Crash): Promise<void> {
    const { view, log } = this.#parts;
    const { upstreamId, atMs } = crash;
    const address = view.directory.find(upstreamId)?.address;
    if (address === undefined) {
      return;
    }
    const port = await checkPort(address);
    log.info("upstream-looked-at", { upstream: upstreamId, port });
    if (port === "refused" && !view.reach.isConfirmed) {
      view.crashes.recordDown(upstreamId, atMs, []);
    } else if (port === "open") {
      view.crashes.recordReached(upstreamId, atMs);
    }
  }

  #reviewLater(): void {
    clearTimeout(this.#timer);
    if (this.#isStopped) {
      return;
    }
    this.#timer = setTimeout(() => {
      const { view, log } = this.#parts;
      runStep(log, { step: "crash-review" }, () => view.crashes.review());
      if (view.readNowMs() < this.#untilMs) {
        this.#reviewLater();
      }
    }, CRASH_TIMES.REVIEW_INTERVAL_MS);
  }
}
