import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { setSegment } from "./set_segment.ts";
import type { Segment } from "./types.ts";

/** Reads a segment's record back to determine its current owner. */
export function readSegment(
  state: InstanceState,
  segment: Segment,
  nowMs: number,
): Step {
  const segmentKey = buildSegmentKey(segment.jobId, segment.number);
  const pendingSegment = {
    ...segment,
    isCallPending: true,
    requestedAtMs: nowMs,
  };
  return requestPlatformCall(
    setSegment(state, pendingSegment),
    { kind: "get", key: `segments/${segmentKey}` },
    {
      purpose: { feature: "jobs", operation: "segment", id: segmentKey },
      nowMs,
    },
  );
}
