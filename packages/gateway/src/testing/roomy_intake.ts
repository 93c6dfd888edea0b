import { ByteBudget } from "../intake/byte_budget.ts";

const BUDGET_BYTES = 64 * 1_048_576;

/** Room for callers that no test fills. */
export const roomyIntake = {
  build: () => ({
    budget: new ByteBudget(BUDGET_BYTES),
    maxConnections: 1_000,
  }),
} as const;
