import type { CrashVerdict } from "@gooseberryline/core";
import { CRASH_TIMES } from "./constants.ts";

type VerdictWait = {
  readonly upstreamId: string;
  readonly settle: (verdict: CrashVerdict) => void;
};

/** Requests that wait to know whether their upstreams crashed. */
export class VerdictWaits {
  readonly #waiting = new Set<VerdictWait>();
  readonly #findVerdict: (upstreamId: string) => CrashVerdict;

  constructor(findVerdict: (upstreamId: string) => CrashVerdict) {
    this.#findVerdict = findVerdict;
  }

  /** Waits for the verdict on an upstream; `unknown` after some time. */
  wait(upstreamId: string): Promise<CrashVerdict> {
    return new Promise((resolve) => {
      const settle = (verdict: CrashVerdict): void => {
        clearTimeout(timer);
        this.#waiting.delete(wait);
        resolve(verdict);
      };
      const wait = { upstreamId, settle };
      const timer = setTimeout(() => {
        settle(this.#findVerdict(upstreamId));
      }, CRASH_TIMES.MAX_VERDICT_WAIT_MS);
      this.#waiting.add(wait);
      this.settleKnown();
    });
  }

  /** Ends the waits whose verdict is known. */
  settleKnown(): void {
    [...this.#waiting].forEach(({ upstreamId, settle }) => {
      const verdict = this.#findVerdict(upstreamId);
      if (verdict !== "unknown") {
        settle(verdict);
      }
    });
  }
}
