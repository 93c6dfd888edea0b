import {
  type BurnState,
  type CustomerId,
  type ProfileName,
  recordOutcome,
} from "@gooseberryline/core";
import { DESIGN_SIZE } from "../constants.ts";
import { measureSerializedBytes } from "../measure_serialized_bytes.ts";
import type { Experiment } from "../types.ts";

const PROFILE = "counter" as ProfileName;
const SLOT_MS = 360_000;
const SLOTS = 720;

/** Builds a state with all slots filled, as after three days of load. */
const buildFullBurnState = (customers: number): BurnState =>
  Array.from(
    { length: customers },
    (_, index) => `c${index}` as CustomerId,
  ).reduce(
    (state, customer) =>
      Array.from({ length: SLOTS }, (_, slot) => slot * SLOT_MS).reduce(
        (filled, nowMs) =>
          recordOutcome(
            filled,
            { profile: PROFILE, customer, isMissed: false },
            nowMs,
          ),
        state,
      ),
    {} as BurnState,
  );

/** Experiments on the counters behind the burn report. */
export const REPORT_EXPERIMENTS: readonly Experiment[] = [
  {
    role: "reports",
    quantity: "state of a node after three days",
    unit: "B",
    variable: "customers with one profile",
    values: [4, 8, 16, 32],
    target: DESIGN_SIZE.CUSTOMERS,
    limit: DESIGN_SIZE.CONTROL_MEMORY_BYTES,
    mechanism: "core/src/burn",
    measure: (x) => measureSerializedBytes(buildFullBurnState(x)),
  },
];
