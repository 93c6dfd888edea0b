import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { buildSegmentRecord } from "./build_segment_record.ts";
import { setSegment } from "./set_segment.ts";
import type { Segment } from "./types.ts";

/**
 * Writes a segment's record by compare-and-swap against its last known version.
 */
export function writeSegment(
  state: InstanceState,
  segment: Segment,
  nowMs: number,
): Step {
  const segmentKey = buildSegmentKey(segment.jobId, segment.number);
  const record = buildSegmentRecord(state, segment);
  const pendingSegment = {
    ...segment,
    count: record.count,
    isCallPending: true,
    requestedAtMs: nowMs,
    lastWriteAtMs: nowMs,
  };
  return requestPlatformCall(
    setSegment(state, pendingSegment),
    {
      kind: "cas",
      key: `segments/${segmentKey}`,
      value: JSON.stringify(record),
      expect: segment.version,
    },
    {
      purpose: { feature: "jobs", operation: "segment", id: segmentKey },
      nowMs,
    },
  );
}
