import type { InstanceState, Step } from "../instance/types.ts";
import type {
  PendingCall,
  PlatformAnswer,
  PlatformRecord,
} from "../platform/types.ts";
import { assertNever } from "../shared/assert_never.ts";
import { adoptSegment } from "./adopt_segment.ts";
import { JOBS } from "./constants.ts";
import { dropSegment } from "./drop_segment.ts";
import { setSegment } from "./set_segment.ts";
import type { Segment, SegmentRecord } from "./types.ts";

/** Handles the answer to a write or read-back of an owned segment's record. */
export function handleSegmentAnswer(
  state: InstanceState,
  {
    name: segmentKey,
    pendingCall,
    answer,
  }: {
    readonly name: string;
    readonly pendingCall: PendingCall;
    readonly answer: PlatformAnswer;
  },
  nowMs: number,
): Step {
  const segment = state.jobs.owned[segmentKey];
  if (segment === undefined) {
    return { state, effects: [] };
  }
  switch (answer.kind) {
    case "written": {
      const { call } = pendingCall;
      const value = call.kind === "cas" ? call.value : "";
      const record = JSON.parse(value) as SegmentRecord;
      const { version } = answer;
      return adoptSegment(state, segment, { record, version, nowMs });
    }
    case "conflict":
      return applyStoredRecord(state, segment, answer.current, nowMs);
    case "got":
      return applyStoredRecord(state, segment, answer.record, nowMs);
    case "unavailable":
    case "throttled":
      return {
        state: setSegment(state, {
          ...segment,
          isCallPending: false,
          mustReadBack: segment.mustReadBack || answer.kind === "unavailable",
          isOffline: true,
          retryAtMs: nowMs + JOBS.RETRY_MS,
        }),
        effects: [],
      };
    case "listed":
    case "granted":
    case "kept":
    case "changed":
      return { state, effects: [] };
    default:
      return assertNever(answer);
  }
}

/**
 * Applies a stored record written by this owner, which shows whether the last
 * write took effect. A record of another owner ends the ownership.
 */
function applyStoredRecord(
  state: InstanceState,
  segment: Segment,
  stored: PlatformRecord | undefined,
  nowMs: number,
): Step {
  const record =
    stored === undefined
      ? undefined
      : (JSON.parse(stored.value) as SegmentRecord);
  const isOwn =
    record?.incarnation === state.self.incarnation &&
    record.fence === segment.fence;
  if (stored !== undefined && record !== undefined && isOwn) {
    const { version } = stored;
    return adoptSegment(state, segment, { record, version, nowMs });
  }
  const isClaimUnwritten =
    segment.phase === "claiming" && (stored?.version ?? 0) === segment.version;
  return isClaimUnwritten
    ? {
        state: setSegment(state, {
          ...segment,
          isCallPending: false,
          mustReadBack: false,
          retryAtMs: nowMs,
        }),
        effects: [],
      }
    : dropSegment(state, segment, "LOSE");
}
