import type { InstanceState, Step } from "../instance/types.ts";
import { requestPlatformCall } from "../platform/request_platform_call.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { setSegment } from "./set_segment.ts";
import type { Segment } from "./types.ts";

/** Reads a segment's record back, to learn whose it is. */
export function readSegment(
  state: InstanceState,
  segment: Segment,
  nowMs: number,
): Step {
  const name = buildSegmentKey(segment.jobId, segment.number);
  const asking = { ...segment, isAsking: true, askedMs: nowMs };
  return requestPlatformCall(
    setSegment(state, asking),
    { kind: "get", key: `segments/${name}` },
    { purpose: { feature: "jobs", what: "segment", id: name }, nowMs },
  );
}
