import type { AttemptId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { buildSegmentKey } from "./build_segment_key.ts";
import { chooseDisks } from "./choose_disks.ts";
import { setSegment } from "./set_segment.ts";
import type { ItemResult, Segment, SegmentPart } from "./types.ts";

/**
 * Sends the result of an item in state `storing` to the disks of the segment's
 * current part.
 */
export function storeResult(
  state: InstanceState,
  segment: Segment,
  item: {
    readonly offset: number;
    readonly attemptId: AttemptId | undefined;
    readonly result: ItemResult;
    /** Disks that have just failed. Avoided, except for the own disk. */
    readonly avoid?: readonly string[];
  },
): Step {
  const { offset, attemptId, result, avoid = [] } = item;
  const { jobId, first } = segment;
  const existing = findPart(segment, avoid);
  const part = existing ?? createPart(state, segment, avoid);
  const parts =
    existing === undefined ? [...segment.parts, part] : segment.parts;
  const { blobId, disks } = part;
  return {
    state: setSegment(state, { ...segment, parts }),
    effects: [
      {
        kind: "store-result",
        jobId,
        index: first + offset,
        attemptId,
        result,
        blobId,
        disks,
      },
    ],
  };
}

function findPart(
  segment: Segment,
  avoid: readonly string[],
): SegmentPart | undefined {
  const part = segment.parts.at(-1);
  const isOwn = part?.blobId.startsWith(buildBlobPrefix(segment)) ?? false;
  const hasNoFailedDisk =
    part?.disks.every((id) => !avoid.includes(id)) ?? false;
  return isOwn && hasNoFailedDisk ? part : undefined;
}

function createPart(
  state: InstanceState,
  segment: Segment,
  avoid: readonly string[],
): SegmentPart {
  const segmentKey = buildSegmentKey(segment.jobId, segment.number);
  const nowMs = state.jobs.lastTickAtMs;
  const disks = chooseDisks(state, segmentKey, { nowMs, avoid });
  const blobId = `${buildBlobPrefix(segment)}${segment.parts.length}`;
  return { blobId, disks, done: [], failed: [] };
}

function buildBlobPrefix({ jobId, number, fence }: Segment): string {
  return `${jobId}.${number}.${fence}.`;
}
