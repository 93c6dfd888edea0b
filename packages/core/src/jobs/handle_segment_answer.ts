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

/** Handles the answer to a write or read of an own segment's record. */
export function handleSegmentAnswer(
  state: InstanceState,
  {
    name,
    asked,
    answer,
  }: {
    readonly name: string;
    readonly asked: PendingCall;
    readonly answer: PlatformAnswer;
  },
  nowMs: number,
): Step {
  const segment = state.jobs.owned[name];
  if (segment === undefined) {
    return { state, effects: [] };
  }
  switch (answer.kind) {
    case "written": {
      const { call } = asked;
      const value = call.kind === "cas" ? call.value : "";
      const record = JSON.parse(value) as SegmentRecord;
      const { version } = answer;
      return adoptSegment(state, segment, { record, version, nowMs });
    }
    case "conflict":
      return settleRecord(state, segment, answer.current, nowMs);
    case "got":
      return settleRecord(state, segment, answer.record, nowMs);
    case "unavailable":
    case "throttled":
      return {
        state: setSegment(state, {
          ...segment,
          isAsking: false,
          mustRead: segment.mustRead || answer.kind === "unavailable",
          isOffline: true,
          retryMs: nowMs + JOBS.RETRY_MS,
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

/** An own record tells what took effect; another's ends the ownership. */
function settleRecord(
  state: InstanceState,
  segment: Segment,
  found: PlatformRecord | undefined,
  nowMs: number,
): Step {
  const record =
    found === undefined
      ? undefined
      : (JSON.parse(found.value) as SegmentRecord);
  const isOwn =
    record?.incarnation === state.self.incarnation &&
    record.fence === segment.fence;
  if (found !== undefined && record !== undefined && isOwn) {
    const { version } = found;
    return adoptSegment(state, segment, { record, version, nowMs });
  }
  const isUnclaimed =
    segment.phase === "claiming" && (found?.version ?? 0) === segment.version;
  return isUnclaimed
    ? {
        state: setSegment(state, {
          ...segment,
          isAsking: false,
          mustRead: false,
          retryMs: nowMs,
        }),
        effects: [],
      }
    : dropSegment(state, segment, "LOSE");
}
