import fc from "fast-check";
import { expect, test } from "vitest";
import { chooseTextsToSave } from "./choose_texts_to_save.ts";
import { BATCHES } from "./constants.ts";

const TEXT = fc.record({
  jobId: fc.constantFrom("a", "b", "c", "d", "e"),
  events: fc.integer({ min: 0, max: 300 }),
  savedEvents: fc.integer({ min: 0, max: 300 }),
  bytes: fc.integer({ min: 1, max: 40_000 }),
});

test("the chosen texts fit into one commit", () => {
  fc.assert(
    fc.property(fc.array(TEXT, { maxLength: 80 }), (texts) => {
      const chosen = chooseTextsToSave(texts, BATCHES.MIN_UNSAVED_EVENTS);
      const jobs = new Set(chosen.map(({ jobId }) => jobId));
      const entries = chosen.length + jobs.size;
      expect(entries).toBeLessThanOrEqual(BATCHES.MAX_COMMIT_ENTRIES);
      const bytes = chosen.reduce((sum, text) => sum + text.bytes, 0);
      expect(bytes).toBeLessThanOrEqual(BATCHES.MAX_SAVE_BYTES);
      const due = texts.filter(
        ({ events, savedEvents }) =>
          events - savedEvents >= BATCHES.MIN_UNSAVED_EVENTS,
      );
      expect(due).toEqual(expect.arrayContaining([...chosen]));
      expect(chosen.length > 0).toBe(due.length > 0);
    }),
    { seed: 1 },
  );
});

test("texts with the most unsaved events go first", () => {
  const texts = Array.from({ length: 50 }, (_, index) => ({
    jobId: "a",
    events: 40 + index,
    savedEvents: 0,
    bytes: 10,
  }));
  const [first, ...rest] = chooseTextsToSave(texts, 1);
  expect(first?.events).toBe(89);
  expect(rest).toHaveLength(BATCHES.MAX_COMMIT_ENTRIES - 2);
});

test("a text without unsaved events is not chosen", () => {
  const text = { jobId: "a", events: 50, savedEvents: 50, bytes: 10 };
  expect(chooseTextsToSave([text], 0)).toEqual([]);
});
