import { ROLLOUTS } from "@gooseberryline/core";
import { ROLLOUT_TIMES } from "./constants.ts";

type MeanTime = { readonly count: number; readonly meanLog: number };

/**
 * Learns how long the first byte of an answer takes on each route at upstreams
 * with room, as a geometric mean, which single long requests move little.
 */
export class ReferenceTimes {
  readonly #means = new Map<string, MeanTime>();

  record(service: string, route: string, tookMs: number): void {
    const key = buildKey(service, route);
    const { count, meanLog } = this.#means.get(key) ?? { count: 0, meanLog: 0 };
    const weight = Math.max(ROLLOUT_TIMES.TIME_WEIGHT, 1 / (count + 1));
    const log = Math.log(Math.max(1, tookMs));
    this.#means.set(key, {
      count: count + 1,
      meanLog: meanLog + (log - meanLog) * weight,
    });
  }

  /** Returns the time from which an answer is slow; undefined if not known yet. */
  computeSlowMs(service: string, route: string): number | undefined {
    const mean = this.#means.get(buildKey(service, route));
    if (mean === undefined || mean.count < ROLLOUT_TIMES.MIN_TIMES) {
      return undefined;
    }
    const meanMs = Math.exp(mean.meanLog);
    return Math.max(
      meanMs * ROLLOUTS.SLOW_FACTOR,
      meanMs + ROLLOUTS.SLOW_SLACK_MS,
    );
  }
}

function buildKey(service: string, route: string): string {
  return `${service}\n${route}`;
}
