import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Attempt, AttemptOutcome } from "../work/types.ts";
import { recordDuration } from "./record_duration.ts";
import type { Upstream } from "./types.ts";

const SUSPECT_MS = 5_000;
const BACKOFF_MS = 1_000;
const COLD_AFTER_ERRORS = 2;
const COLD_AFTER_SLOW = 2;
const SLOW_FACTOR = 4;
const MIN_SAMPLES = 16;

/** An observation of an upstream, made by one attempt. */
export type UpstreamSignal =
  | { readonly kind: "first-token"; readonly bootId: string | undefined }
  | {
      readonly kind: "ended";
      readonly outcome: AttemptOutcome["kind"];
      readonly bootId: string | undefined;
    }
  | { readonly kind: "silent" };

/**
 * Records an attempt's observation of its upstream. A change that the slot
 * owner needs to know soon, such as a cold upstream, makes a slot report due.
 */
export function recordUpstreamSignal(
  state: InstanceState,
  attempt: Attempt,
  {
    signal,
    nowMs,
  }: { readonly signal: UpstreamSignal; readonly nowMs: number },
): InstanceState {
  const before = state.upstreams[attempt.upstreamId];
  if (before === undefined) {
    return state;
  }
  const after = applySignal(before, attempt, { signal, nowMs });
  const isUrgent =
    after.coldCount !== before.coldCount ||
    after.errorCount !== before.errorCount ||
    (before.errorStreak > 0 && after.errorStreak === 0) ||
    (signal.kind === "first-token" && before.knownAllowance <= 1);
  return {
    ...state,
    upstreams: setEntry(state.upstreams, attempt.upstreamId, after),
    slots: isUrgent ? { ...state.slots, isReportDue: true } : state.slots,
  };
}

function applySignal(
  upstream: Upstream,
  attempt: Attempt,
  {
    signal,
    nowMs,
  }: { readonly signal: UpstreamSignal; readonly nowMs: number },
): Upstream {
  const tookMs = nowMs - attempt.startedMs;
  switch (signal.kind) {
    case "first-token": {
      const answered = recordResponse(upstream, signal.bootId, nowMs);
      return recordFirstTokenTime(answered, tookMs);
    }
    case "ended":
      return recordOutcome(upstream, signal, { tookMs, nowMs });
    case "silent":
      return recordSilence(upstream, attempt, nowMs);
  }
}

function recordResponse(
  upstream: Upstream,
  bootId: string | undefined,
  nowMs: number,
): Upstream {
  const isNewBoot =
    bootId !== undefined &&
    upstream.bootId !== undefined &&
    bootId !== upstream.bootId;
  return {
    ...upstream,
    bootId: bootId ?? upstream.bootId,
    coldCount: upstream.coldCount + (isNewBoot ? 1 : 0),
    lastAnswerMs: nowMs,
    errorStreak: 0,
    silentSinceMs: undefined,
  };
}

function recordFirstTokenTime(upstream: Upstream, tookMs: number): Upstream {
  const { firstToken } = upstream;
  const isSlow =
    firstToken.count >= MIN_SAMPLES &&
    tookMs > SLOW_FACTOR * Math.max(firstToken.meanMs, firstToken.deviationMs);
  const slowStreak = isSlow ? upstream.slowStreak + 1 : 0;
  const isCold = slowStreak === COLD_AFTER_SLOW;
  return {
    ...upstream,
    slowStreak,
    coldCount: upstream.coldCount + (isCold ? 1 : 0),
    firstToken: recordDuration(firstToken, tookMs),
  };
}

function recordOutcome(
  upstream: Upstream,
  { outcome, bootId }: Extract<UpstreamSignal, { kind: "ended" }>,
  { tookMs, nowMs }: { readonly tookMs: number; readonly nowMs: number },
): Upstream {
  if (outcome === "cancelled") {
    return upstream;
  }
  if (outcome === "completed") {
    const answered = recordResponse(upstream, bootId, nowMs);
    const successCount = answered.successCount + 1;
    return {
      ...answered,
      successCount,
      run: recordDuration(answered.run, tookMs),
    };
  }
  const errorStreak = upstream.errorStreak + 1;
  const isRamping = upstream.knownAllowance < upstream.maxConcurrency;
  const isCold = errorStreak === (isRamping ? 1 : COLD_AFTER_ERRORS);
  return {
    ...upstream,
    errorStreak,
    errorCount: upstream.errorCount + 1,
    lastErrorMs: nowMs,
    allowanceUntilMs: nowMs,
    coldCount: upstream.coldCount + (isCold ? 1 : 0),
    suspectUntilMs:
      errorStreak >= COLD_AFTER_ERRORS
        ? nowMs + BACKOFF_MS
        : upstream.suspectUntilMs,
  };
}

/**
 * Records a first-token timeout. The upstream becomes suspect only if the
 * attempt started after an earlier one had timed out, so that a single silent
 * connection is not enough.
 */
function recordSilence(
  upstream: Upstream,
  attempt: Attempt,
  nowMs: number,
): Upstream {
  const { silentSinceMs } = upstream;
  if (silentSinceMs === undefined) {
    return { ...upstream, silentSinceMs: nowMs };
  }
  return attempt.startedMs < silentSinceMs
    ? upstream
    : {
        ...upstream,
        silentSinceMs: nowMs,
        coldCount: upstream.coldCount + 1,
        suspectUntilMs: nowMs + SUSPECT_MS,
      };
}
