import { Gauge, type Registry } from "prom-client";
import type { RolloutFigures } from "./types.ts";

const VERSION_LABELS = ["service", "version"] as const;

/** Creates the gauges of roll-outs. */
export function createRolloutMetrics(registry: Registry, prefix: string) {
  const registers = [registry];
  const create = <Label extends string>(
    name: string,
    help: string,
    labelNames: readonly Label[],
  ) => new Gauge({ name: `${prefix}${name}`, help, labelNames, registers });
  const sent = create("rollout_sent", "requests sent", VERSION_LABELS);
  const answers = create("rollout_answers", "answers", VERSION_LABELS);
  const bad = create("rollout_bad", "failed or slow answers", VERSION_LABELS);
  const share = create("rollout_share", "share of requests", VERSION_LABELS);
  const step = create("rollout_step", "1 at the present step", [
    "service",
    "step",
  ]);
  const age = create("rollout_evidence_age_ms", "age of peers' last news, ms", [
    "service",
  ]);
  return {
    set: (rollouts: readonly RolloutFigures[]): void => {
      [sent, answers, bad, share, step, age].forEach((gauge) => {
        gauge.reset();
      });
      rollouts.forEach(({ service, versions, ...figures }) => {
        step.set({ service, step: figures.step }, 1);
        age.set({ service }, figures.evidenceAgeMs);
        versions.forEach(({ version, ...counts }) => {
          const labels = { service, version };
          sent.set(labels, counts.sent);
          answers.set(labels, counts.answered);
          bad.set(labels, counts.bad);
          share.set(labels, counts.share);
        });
      });
    },
  };
}
