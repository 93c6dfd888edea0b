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

/**
 * Applies the stored record of an owned segment: confirms the lease and marks
 * the results and intents that the record contains as committed. Starts the
 * segment if it was being claimed.
 */
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
  const confirmed = recordConfirmation(segment, version);
  if (segment.phase === "claiming") {
    return startSegment(state, confirmed, record);
  }
  const doneOffsets = record.parts.flatMap((part) => listOffsets(part.done));
  const committed = advanceItems(confirmed, doneOffsets, {
    from: STORED,
    event: "COMMIT",
  });
  const intents = listOffsets(record.intents);
  const advanced = advanceItems(committed, intents, {
    from: INTENDING,
    event: "INTENDED",
  });
  const uncommittedCount = advanced.items.filter(
    (item) => item === STORED,
  ).length;
  const oldestUncommittedAtMs = uncommittedCount > 0 ? nowMs : undefined;
  const adopted = setSegment(state, {
    ...advanced,
    uncommittedCount,
    oldestUncommittedAtMs,
  });
  return applyRecordState(
    adopted,
    { ...advanced, uncommittedCount, oldestUncommittedAtMs },
    {
      record,
      nowMs,
    },
  );
}

function applyRecordState(
  state: InstanceState,
  segment: Segment,
  { record, nowMs }: { readonly record: SegmentRecord; readonly nowMs: number },
): Step {
  if (record.state !== "open") {
    const dropped = dropSegment(state, segment, "FINISH");
    return chainStep(dropped, (current) =>
      listSegments(current, segment.jobId, nowMs),
    );
  }
  return record.owner === ""
    ? dropSegment(state, segment, "RELEASED")
    : { state, effects: [] };
}

function recordConfirmation(segment: Segment, version: number): Segment {
  const confirmedSegment: Segment = {
    ...segment,
    version,
    confirmedAtMs: segment.requestedAtMs,
    isCallPending: false,
    mustReadBack: false,
    isOffline: false,
  };
  return segment.phase === "suspended"
    ? advanceSegment(confirmedSegment, "CONFIRM")
    : confirmedSegment;
}

function checkParts(segment: Segment, { parts }: SegmentRecord): void {
  const offsets = parts.flatMap(({ done }) => listOffsets(done));
  checkInvariant(
    "item-completes-once",
    new Set(offsets).size === offsets.length,
    () =>
      `${segment.jobId}/${segment.number}: parts contain ${parts
        .map(({ done }) => countOffsets(done))
        .join(" + ")} items, including duplicates`,
  );
}
