import type { Call, CallCounts } from "./types.ts";

/** Size from which a request counts as large, in tokens. */
const LARGE_TOKENS = 1_000;

/** Counts how calls end: all, by customer, and the large ones. */
export class CallTally {
  readonly all = createCounts();
  readonly large = createCounts();
  readonly customers = new Map<string, CallCounts>();

  record(
    { customer, tokens }: Pick<Call, "customer" | "tokens">,
    name: keyof CallCounts,
  ): void {
    const own = this.customers.get(customer) ?? createCounts();
    this.customers.set(customer, own);
    own[name] += 1;
    this.all[name] += 1;
    if (tokens >= LARGE_TOKENS) {
      this.large[name] += 1;
    }
  }
}

function createCounts(): CallCounts {
  return {
    calls: 0,
    onTime: 0,
    returnedOnTime: 0,
    late: 0,
    failed: 0,
    left: 0,
    refusals: 0,
  };
}
