import {
  type AttemptId,
  assertNever,
  type Config,
  type Effect,
  type RunRecord,
  type WorkId,
} from "@gooseberryline/core";
import type { CallerTask } from "../caller/caller_task.ts";
import type { JobTask } from "../jobs/job_task.ts";
import type { AttemptTask } from "./attempt_task.ts";
import type { AttemptOrder } from "./types.ts";

/** The tasks that effects are handed to. */
export type EffectParts = {
  readonly attempts: AttemptTask;
  readonly calls: CallerTask;
  readonly jobs: JobTask;
  readonly readConfig: () => Config | undefined;
  readonly keepRun: (run: RunRecord) => void;
};

/** Hands an effect of the core to the task that carries it out. */
export function handleEffect(effect: Effect, parts: EffectParts): void {
  switch (effect.kind) {
    case "start-attempt":
      startAttempt(effect, parts);
      return;
    case "cancel-attempt":
      parts.attempts.cancel(effect.attemptId);
      return;
    case "complete-request":
      parts.calls.complete(effect.workId);
      return;
    case "refuse-request":
      parts.calls.refuse(effect.workId, effect.refusal);
      return;
    case "store-result":
      void parts.jobs.store(effect);
      return;
    case "end-job":
      void parts.jobs.end(effect.jobId, effect.phase);
      return;
    case "send-peer":
    case "call-platform":
      // Carried out once the peer and platform tasks exist.
      return;
    case "record-run":
      parts.keepRun(effect.run);
      return;
    default:
      assertNever(effect);
  }
}

function startAttempt(
  effect: Extract<Effect, { kind: "start-attempt" }>,
  { attempts, calls, jobs, readConfig }: EffectParts,
): void {
  const { attemptId, workId, upstreamId, origin } = effect;
  const target =
    origin.kind === "request"
      ? openExchange(calls, workId, attemptId)
      : jobs.open(origin, attemptId);
  const upstreamUrl = readConfig()?.document.upstreams[upstreamId]?.url;
  if (target === undefined || upstreamUrl === undefined) {
    return;
  }
  const { call, sink } = target;
  attempts.start({ attemptId, workId, upstreamUrl, upstreamId, call, sink });
}

function openExchange(
  calls: CallerTask,
  workId: WorkId,
  attemptId: AttemptId,
): Pick<AttemptOrder, "call" | "sink"> | undefined {
  const exchange = calls.find(workId);
  return exchange === undefined
    ? undefined
    : { call: exchange.call, sink: exchange.openSink(attemptId) };
}
