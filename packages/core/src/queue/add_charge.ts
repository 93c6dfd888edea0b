import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { readTag } from "./read_tag.ts";
import type { FairQueueTags } from "./types.ts";

const NO_TAGS: FairQueueTags = { virtualTime: 0, finishTags: {} };

/** What a customer is charged for, at which queue. */
export type Charge = {
  /** A service's name, or another name for a queue of its own. */
  readonly queue: string;
  readonly customer: string;
  readonly costTokens: number;
};

/** Charges a customer for work that starts, by its weight. */
export function addCharge(
  state: InstanceState,
  { queue, customer, costTokens }: Charge,
): InstanceState {
  const before = state.queues.tags[queue] ?? NO_TAGS;
  const weight = state.config?.document.customers[customer]?.weight ?? 1;
  const startTag = readTag(before, customer);
  const after: FairQueueTags = {
    virtualTime: startTag,
    finishTags: setEntry(
      before.finishTags,
      customer,
      startTag + costTokens / weight,
    ),
  };
  const tags = setEntry(state.queues.tags, queue, after);
  return { ...state, queues: { ...state.queues, tags } };
}
