import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { readStartTag } from "./read_start_tag.ts";
import type { FairQueueTags } from "./types.ts";

const NO_TAGS: FairQueueTags = { virtualTime: 0, finishTags: {} };

/** Cost of started work, charged to a customer in one fair queue. */
export type Charge = {
  /** Service name, or another name that identifies a separate fair queue. */
  readonly queue: string;
  readonly customer: string;
  readonly costTokens: number;
};

/**
 * Charges a customer for started work: advances its finish tag by the cost in
 * tokens divided by its weight.
 */
export function addCharge(
  state: InstanceState,
  { queue, customer, costTokens }: Charge,
): InstanceState {
  const before = state.queues.tags[queue] ?? NO_TAGS;
  const weight = state.config?.document.customers[customer]?.weight ?? 1;
  const startTag = readStartTag(before, customer);
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
