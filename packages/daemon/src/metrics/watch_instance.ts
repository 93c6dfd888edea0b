import { monitorEventLoopDelay } from "node:perf_hooks";
import { INVARIANTS, type InstanceState } from "@gooseberryline/core";
import type { Metrics } from "./types.ts";

const REPORT_INTERVAL_MS = 10_000;
const NS_PER_MS = 1e6;

/** A running reporter of gauges; it runs until it is stopped. */
export type InstanceWatch = { readonly stop: () => void };

/**
 * Reports gauges for queue lengths, work and job counts, broken invariants and
 * event-loop lag.
 */
export function watchInstance(
  readState: () => InstanceState,
  metrics: Metrics,
  intervalMs = REPORT_INTERVAL_MS,
): InstanceWatch {
  const delay = monitorEventLoopDelay();
  delay.enable();
  const timer = setInterval(() => {
    const { config, queues, works, jobs } = readState();
    Object.keys(config?.document.services ?? {}).forEach((service) => {
      const length = queues.services[service]?.count ?? 0;
      metrics.gauge("queue_length", length, { service });
    });
    metrics.gauge("works", works.count);
    metrics.gauge("jobs", Object.keys(jobs).length);
    metrics.gauge("event_loop_lag_ms", delay.max / NS_PER_MS);
    Object.entries(INVARIANTS.broken).forEach(([invariant, count]) => {
      metrics.gauge("invariants_broken", count, { invariant });
    });
    delay.reset();
  }, intervalMs);
  timer.unref();
  return {
    stop: () => {
      clearInterval(timer);
      delay.disable();
    },
  };
}
