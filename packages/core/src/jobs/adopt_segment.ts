import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { advanceItems } from "./advance_items.ts";
import { advanceSegment } from "./advance_segment.ts";
import { countOffsets } from "./count_offsets.ts";
import { dropSegment } from "./drop_segment.ts";
import { ITEM_STATES } from "./item_states.ts";
import { listOffsets } from "./list_offsets.ts";
import { listSegments } from "./list_segments.ts";
import { setSegment } from "./set_segment.ts";
import { startSegment } from "./start_segment.ts";
import type { Segment, SegmentRecord } from "./types.ts";

const { STORED, INTENDING } = ITEM_STATES;

/** Takes up what the record of an own segment says is done. */
export function adoptSegment(
  state: InstanceState,
  segment: Segment,
  {
    record,
    version,
    nowMs,
  }: {
    readonly record: SegmentRecord;
    readonly version: number;
    readonly nowMs: number;
  },
): Step {
  checkParts(segment, record);
  const confirmed = noteConfirmed(segment, version);
  if (segment.phase === "claiming") {
    return startSegment(state, confirmed, record);
  }
  const done = record.parts.flatMap((part) => listOffsets(part.done));
  const committed = advanceItems(confirmed, done, {
    from: STORED,
    event: "COMMIT",
  });
  const intents = listOffsets(record.intents);
  const after = advanceItems(committed, intents, {
    from: INTENDING,
    event: "INTENDED",
  });
  const uncommitted = after.items.filter((item) => item === STORED).length;
  const oldestMs = uncommitted > 0 ? nowMs : undefined;
  const adopted = setSegment(state, { ...after, uncommitted, oldestMs });
  return settleSegment(
    adopted,
    { ...after, uncommitted, oldestMs },
    {
      record,
      nowMs,
    },
  );
}

function settleSegment(
  state: InstanceState,
  segment: Segment,
  { record, nowMs }: { readonly record: SegmentRecord; readonly nowMs: number },
): Step {
  if (record.state !== "open") {
    const dropped = dropSegment(state, segment, "FINISH");
    return chainStep(dropped, (at) => listSegments(at, segment.jobId, nowMs));
  }
  return record.owner === ""
    ? dropSegment(state, segment, "RELEASED")
    : { state, effects: [] };
}

function noteConfirmed(segment: Segment, version: number): Segment {
  const known: Segment = {
    ...segment,
    version,
    confirmedMs: segment.askedMs,
    isAsking: false,
    mustRead: false,
    isOffline: false,
  };
  return segment.phase === "suspended"
    ? advanceSegment(known, "CONFIRM")
    : known;
}

function checkParts(segment: Segment, { parts }: SegmentRecord): void {
  const offsets = parts.flatMap(({ done }) => listOffsets(done));
  checkInvariant(
    "item-completes-once",
    new Set(offsets).size === offsets.length,
    () =>
      `${segment.jobId}/${segment.number}: parts hold ${parts
        .map(({ done }) => countOffsets(done))
        .join(" + ")} items, some twice`,
  );
}
