import { expect, test } from "vitest";
import { simulateLoadMessages } from "./simulate_load_messages.ts";

const FLEET = {
  perDataCentre: 10,
  customers: 140,
  requestsPerSecond: 2,
  forMs: 4_000,
};
/** Growth from 100 to 200 instances that counts as flat. */
const FLAT = 1.2;

test("what an instance sends and receives does not grow with the fleet", () => {
  const small = simulateLoadMessages({ ...FLEET, instances: 100 }).counts;
  const large = simulateLoadMessages({ ...FLEET, instances: 200 }).counts;
  expect(large.messages).toBeLessThanOrEqual(small.messages * FLAT);
  expect(large.bytes).toBeLessThanOrEqual(small.bytes * FLAT);
  expect(large.crossingBytes).toBeLessThanOrEqual(small.crossingBytes * FLAT);
  expect(large.entries).toBeLessThanOrEqual(small.entries * FLAT);
});

test("customers that send nothing cost nothing", () => {
  const options = { ...FLEET, instances: 20 };
  const few = simulateLoadMessages({ ...options, customers: 10 }).counts;
  const idle = { ...options, requestsPerSecond: 0, customers: 1_000 };
  expect(simulateLoadMessages(idle).counts.bytes).toBeLessThan(few.bytes);
});

test("a message reaches every instance and crosses to each data centre once", () => {
  const { counts, fleet } = simulateLoadMessages({ ...FLEET, instances: 30 });
  const unheard = fleet.map((view) => view.buildMessage(false).unheard);
  expect(unheard.flat()).toEqual([]);
  // Of 29 copies of a message, 2 cross.
  expect(counts.crossingBytes / counts.bytes).toBeCloseTo(2 / 29, 2);
});
