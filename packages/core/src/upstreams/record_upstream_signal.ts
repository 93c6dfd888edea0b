import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Attempt, AttemptOutcome } from "../work/types.ts";
import { recordDuration } from "./record_duration.ts";
import type { Upstream } from "./types.ts";

const SUSPECT_MS = 5_000;
const BACK_OFF_MS = 1_000;
const COLD_AFTER_ERRORS = 2;
const COLD_AFTER_SLOW = 2;
const SLOW_FACTOR = 4;
const MIN_HISTORY = 16;

/** What an attempt showed of its upstream. */
export type UpstreamSign =
  | { readonly kind: "first-token"; readonly bootId: string | undefined }
  | {
      readonly kind: "ended";
      readonly outcome: AttemptOutcome["kind"];
      readonly bootId: string | undefined;
    }
  | { readonly kind: "silent" };

/** Notes what an attempt shows of its upstream; a cold one is reported. */
export function recordUpstreamSignal(
  state: InstanceState,
  attempt: Attempt,
  { sign, nowMs }: { readonly sign: UpstreamSign; readonly nowMs: number },
): InstanceState {
  const before = state.upstreams[attempt.upstreamId];
  if (before === undefined) {
    return state;
  }
  const after = updateBySign(before, attempt, { sign, nowMs });
  const isUrgent =
    after.coldCount !== before.coldCount ||
    after.errorCount !== before.errorCount ||
    (before.errorStreak > 0 && after.errorStreak === 0) ||
    (sign.kind === "first-token" && before.knownAllowance <= 1);
  return {
    ...state,
    upstreams: setEntry(state.upstreams, attempt.upstreamId, after),
    slots: isUrgent ? { ...state.slots, isReportDue: true } : state.slots,
  };
}

function updateBySign(
  upstream: Upstream,
  attempt: Attempt,
  { sign, nowMs }: { readonly sign: UpstreamSign; readonly nowMs: number },
): Upstream {
  const tookMs = nowMs - attempt.startedMs;
  switch (sign.kind) {
    case "first-token": {
      const alive = noteAlive(upstream, sign.bootId, nowMs);
      return noteSlowness(alive, tookMs);
    }
    case "ended":
      return noteOutcome(upstream, sign, { tookMs, nowMs });
    case "silent":
      return noteSilence(upstream, attempt, nowMs);
  }
}

function noteAlive(
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
    answeredMs: nowMs,
    errorStreak: 0,
    silentSinceMs: undefined,
  };
}

function noteSlowness(upstream: Upstream, tookMs: number): Upstream {
  const { firstToken } = upstream;
  const isSlow =
    firstToken.count >= MIN_HISTORY &&
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

function noteOutcome(
  upstream: Upstream,
  { outcome, bootId }: Extract<UpstreamSign, { kind: "ended" }>,
  { tookMs, nowMs }: { readonly tookMs: number; readonly nowMs: number },
): Upstream {
  if (outcome === "cancelled") {
    return upstream;
  }
  if (outcome === "completed") {
    const alive = noteAlive(upstream, bootId, nowMs);
    const successCount = alive.successCount + 1;
    return { ...alive, successCount, run: recordDuration(alive.run, tookMs) };
  }
  const errorStreak = upstream.errorStreak + 1;
  const isRamping = upstream.knownAllowance < upstream.maxConcurrency;
  const isCold = errorStreak === (isRamping ? 1 : COLD_AFTER_ERRORS);
  return {
    ...upstream,
    errorStreak,
    errorCount: upstream.errorCount + 1,
    erredMs: nowMs,
    allowanceUntilMs: nowMs,
    coldCount: upstream.coldCount + (isCold ? 1 : 0),
    suspectUntilMs:
      errorStreak >= COLD_AFTER_ERRORS
        ? nowMs + BACK_OFF_MS
        : upstream.suspectUntilMs,
  };
}

/** Only silence on a connection opened after another's makes it suspect. */
function noteSilence(
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
