import { setEntry } from "../shared/set_entry.ts";
import { readStartTag } from "./read_start_tag.ts";
import type { FairQueueTags } from "./types.ts";

const NO_TAGS: FairQueueTags = { virtualTime: 0, finishTags: {} };

type StartedWork = {
  readonly customer: string;
  readonly costTokens: number;
  readonly weight: number;
};

/**
 * Charges a customer for work that starts: advances its finish tag by the cost in
 * tokens divided by its weight.
 */
export function addCustomerCharge(
  tags: FairQueueTags = NO_TAGS,
  { customer, costTokens, weight }: StartedWork,
): FairQueueTags {
  const startTag = readStartTag(tags, customer);
  return {
    virtualTime: startTag,
    finishTags: setEntry(
      tags.finishTags,
      customer,
      startTag + costTokens / weight,
    ),
  };
}
