import {
  assertNever,
  type Config,
  type Effect,
  type RunRecord,
} from "@gooseberryline/core";
import type { CallerTask } from "../caller/caller_task.ts";
import type { ConfigWatch } from "../config/config_watch.ts";
import type { JobTask } from "../jobs/job_task.ts";
import type { PeerTask } from "../peers/peer_task.ts";
import type { PlatformTask } from "../platform/platform_task.ts";
import type { AttemptTask } from "./attempt_task.ts";
import type { AttemptTarget } from "./types.ts";

/** The tasks that carry out effects. */
export type EffectParts = {
  readonly attempts: AttemptTask;
  readonly calls: CallerTask;
  readonly jobs: JobTask;
  readonly peers: PeerTask;
  readonly platform: PlatformTask;
  readonly watch: ConfigWatch;
  readonly storeConfig: (config: Config) => void;
  readonly readConfig: () => Config | undefined;
  readonly recordRun: (run: RunRecord) => void;
};

type StartAttempt = Extract<Effect, { kind: "start-attempt" }>;

/** Dispatches an effect of the core to the task that carries it out. */
export function handleEffect(effect: Effect, parts: EffectParts): void {
  switch (effect.kind) {
    case "start-attempt":
      startAttempt(effect, parts);
      return;
    case "cancel-attempt":
      parts.jobs.cancelInputRead(effect.attemptId);
      parts.attempts.cancel(effect.attemptId, effect.isSilent);
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
    case "answer-job":
      parts.jobs.answerOffer(effect.offerId, effect.answer);
      return;
    case "build-output":
      void parts.jobs.build(effect);
      return;
    case "drop-results":
      void parts.jobs.drop(effect.jobId);
      return;
    case "send-peer":
      parts.peers.send(effect.to, effect.message);
      return;
    case "call-platform":
      parts.platform.start(effect.callId, effect.call);
      return;
    case "watch-config":
      parts.watch.setWatching(effect.isWatching);
      return;
    case "keep-config":
      parts.storeConfig(effect.config);
      return;
    case "record-run":
      parts.recordRun(effect.run);
      return;
    default:
      assertNever(effect);
  }
}

function startAttempt(
  effect: StartAttempt,
  { attempts, calls, jobs, readConfig }: EffectParts,
): void {
  const { attemptId, workId, upstreamId, origin } = effect;
  const upstreamUrl = readConfig()?.document.upstreams[upstreamId]?.url;
  const startTarget = (target: AttemptTarget | undefined): void => {
    if (target === undefined || upstreamUrl === undefined) {
      attempts.refuse(attemptId, {
        code: "upstream_unreachable",
        step: "connect",
        peer: upstreamId,
        message: "the call or its upstream is gone",
      });
      return;
    }
    const ids = { attemptId, workId, upstreamUrl, upstreamId };
    attempts.start({ ...ids, ...target });
  };
  if (origin.kind === "request") {
    startTarget(openExchange(calls, effect));
  } else {
    void jobs.open(origin, attemptId, startTarget);
  }
}

function openExchange(
  calls: CallerTask,
  { workId, attemptId, upstreamId }: StartAttempt,
): AttemptTarget | undefined {
  const exchange = calls.find(workId);
  return exchange === undefined
    ? undefined
    : { call: exchange.call, sink: exchange.openSink(attemptId, upstreamId) };
}
