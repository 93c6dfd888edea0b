import { expect, test } from "vitest";
import type { InstanceId } from "../ids/types.ts";
import { isSuperseded } from "./is_superseded.ts";

const createHolder = (id: string, incarnation: string, lastSeenMs: number) => ({
  instanceId: id as InstanceId,
  incarnation,
  lastSeenMs,
});

const EARLIER = createHolder("b-0", "i1", 1_000);
const LATER = createHolder("b-0", "i2", 9_000);
const OTHER = createHolder("b-1", "i3", 9_500);

// Guards against slots that an ended process holds, since its next incarnation has
// become silent as well.
test("an incarnation is superseded by a later one of its instance only", () => {
  const holders = [EARLIER, LATER, OTHER];
  const superseded = holders.filter((holder) => isSuperseded(holder, holders));
  expect(superseded).toEqual([EARLIER]);
});

test("a silent incarnation without a later one is not superseded", () => {
  expect(isSuperseded(EARLIER, [EARLIER, OTHER])).toBe(false);
});
