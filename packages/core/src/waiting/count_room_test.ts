import { expect, test } from "vitest";
import { ENTRY_FIXTURE } from "../placing/entry_fixture.ts";
import type { Candidate } from "../placing/types.ts";
import { countRoom } from "./count_room.ts";

function createCandidate(fields: Partial<Candidate> = {}): Candidate {
  return {
    entry: ENTRY_FIXTURE,
    open: { online: 3, batch: 0 },
    unseen: 0,
    suspectUntilMs: 0,
    isLimited: false,
    isRateOpen: true,
    ...fields,
  };
}

// Guards against rooms emptied, and shares cut, for a rate's next token.
test("an upstream without a token keeps its slots, but takes no request now", () => {
  const closed = createCandidate({ isRateOpen: false });
  const room = { isUsable: true, slots: 8 };
  expect(countRoom([closed], 1)).toEqual({ ...room, isOpen: false });
  expect(countRoom([createCandidate()], 1)).toEqual({ ...room, isOpen: true });
  const suspect = createCandidate({ suspectUntilMs: 2 });
  const stuck = { isUsable: false, isOpen: false, slots: 3 };
  expect(countRoom([suspect], 1)).toEqual(stuck);
});
