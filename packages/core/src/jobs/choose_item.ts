import type { ServiceName } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { readStartTag } from "../queue/read_start_tag.ts";
import { buildBatchQueueName } from "./build_batch_queue_name.ts";
import { findStartableItem } from "./find_startable_item.ts";
import type { JobSpec, Segment } from "./types.ts";

/** The item to start next. */
export type ItemChoice = {
  readonly spec: JobSpec;
  readonly segment: Segment;
  /** Index of the item in the job. */
  readonly index: number;
};

/**
 * Chooses the item to start next. Picks the customer with the lowest start tag,
 * and of that customer's jobs the one with the earliest due time.
 */
export function chooseItem(
  state: InstanceState,
  service: ServiceName,
  {
    nowMs,
    isNonIdempotentAllowed,
  }: { readonly nowMs: number; readonly isNonIdempotentAllowed: boolean },
): ItemChoice | undefined {
  const tags = state.queues.tags[buildBatchQueueName(service)];
  const candidates = Object.values(state.jobs.owned)
    .flatMap((segment) => {
      const spec = state.jobs.known[segment.jobId]?.record.spec;
      return spec === undefined ? [] : [{ spec, segment }];
    })
    .filter(({ spec }) => spec.service === service)
    .filter(({ spec }) => isNonIdempotentAllowed || spec.isIdempotent)
    .map((candidate) => ({
      ...candidate,
      tag: readStartTag(tags, candidate.spec.customer),
    }))
    .sort((a, b) => a.tag - b.tag || a.spec.dueMs - b.spec.dueMs);
  const first = candidates.find(
    ({ segment }) => findStartableItem(state, segment, nowMs) !== undefined,
  );
  const index =
    first === undefined
      ? undefined
      : findStartableItem(state, first.segment, nowMs);
  return first === undefined || index === undefined
    ? undefined
    : { spec: first.spec, segment: first.segment, index };
}
