import {
  type BurnState,
  type CustomerId,
  type ProfileName,
  recordOutcome,
} from "@gooseberryline/core";
import { TARGET } from "../constants.ts";
import { measureBytes } from "../measure_bytes.ts";
import type { Experiment } from "../types.ts";

const PROFILE = "counter" as ProfileName;
const SLOT_MS = 360_000;
const SLOTS = 720;

/** Every slot of every window filled, as after three busy days. */
const fillBurn = (customers: number): BurnState =>
  Array.from({ length: customers }, (_, at) => `c${at}` as CustomerId).reduce(
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

/** The burn report's counts. */
export const REPORT_EXPERIMENTS: readonly Experiment[] = [
  {
    role: "reports",
    quantity: "state of a node after three days",
    unit: "B",
    variable: "customers with one profile",
    values: [4, 8, 16, 32],
    target: TARGET.CUSTOMERS,
    limit: TARGET.CONTROL_MEMORY_BYTES,
    mechanism: "core/src/burn",
    measure: (x) => measureBytes(fillBurn(x)),
  },
];
