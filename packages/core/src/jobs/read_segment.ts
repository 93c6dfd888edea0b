import type { InstanceState, Step } from "../instance/types.ts";
import { askPlatform } from "../platform/ask_platform.ts";
import { nameSegment } from "./name_segment.ts";
import { setSegment } from "./set_segment.ts";
import type { Segment } from "./types.ts";

/** Reads a segment's record back, to learn whose it is. */
export function readSegment(
  state: InstanceState,
  segment: Segment,
  nowMs: number,
): Step {
  const name = nameSegment(segment.jobId, segment.number);
  const asking = { ...segment, isAsking: true, askedMs: nowMs };
  return askPlatform(
    setSegment(state, asking),
    { kind: "get", key: `segments/${name}` },
    { purpose: { feature: "jobs", what: "segment", id: name }, nowMs },
  );
}
