import { expect, test } from "vitest";
import type { DataCentreId, InstanceId, UpstreamId } from "../ids/types.ts";
import { createInstance } from "../instance/create_instance.ts";
import type { InstanceState } from "../instance/types.ts";
import type { Upstream } from "../upstreams/types.ts";
import { countHeldSlots } from "./count_held_slots.ts";
import type { SlotHolder, SlotLedger } from "./types.ts";

const SELF = {
  instanceId: "a-0" as InstanceId,
  dataCentre: "a" as DataCentreId,
  address: "10.0.0.1:7000",
  incarnation: "i1",
  hasDisk: true,
};
const NOW_MS = 100_000;

const UPSTREAM = {
  upstreamId: "u" as UpstreamId,
  dataCentre: SELF.dataCentre,
  maxConcurrency: 8,
  isLeaving: true,
} as Upstream;

/** The state of a slot owner whose longest runs take a minute. */
function createOwner(): InstanceState {
  const config = { document: { profiles: { p: { deadlineMs: 60_000 } } } };
  return { ...createInstance(SELF, 1), config } as unknown as InstanceState;
}

function createHolder(incarnation: string, agoMs: number): SlotHolder {
  return {
    instanceId: "b-0" as InstanceId,
    incarnation,
    dataCentre: "b" as DataCentreId,
    lastSeenMs: NOW_MS - agoMs,
    use: { inFlight: 1 },
    maxSlots: 1,
  } as SlotHolder;
}

function countSilent(holders: readonly SlotHolder[]): number {
  const ledger: SlotLedger = {
    holders: Object.fromEntries(
      holders.map((holder) => [`b-0/${holder.incarnation}`, holder]),
    ),
    successes: 0,
    rampStart: 1,
    bootIds: [],
    lastResponseMs: NOW_MS,
    lastErrorMs: Number.NEGATIVE_INFINITY,
  };
  const about = { upstream: UPSTREAM, nowMs: NOW_MS };
  return countHeldSlots(createOwner(), ledger, about).silent;
}

// Guards against a slot that an ended process holds, once its next one is silent.
test("a process that a later one of its instance has followed holds no slots", () => {
  expect(countSilent([createHolder("i1", 20_000)])).toBe(1);
  const both = [createHolder("i1", 20_000), createHolder("i2", 5_000)];
  expect(countSilent(both)).toBe(1);
});
