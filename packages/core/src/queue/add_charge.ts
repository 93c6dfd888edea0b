import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { addCustomerCharge } from "./add_customer_charge.ts";

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
  const weight = state.config?.document.customers[customer]?.weight ?? 1;
  const started = { customer, costTokens, weight };
  const after = addCustomerCharge(state.queues.tags[queue], started);
  const tags = setEntry(state.queues.tags, queue, after);
  return { ...state, queues: { ...state.queues, tags } };
}
