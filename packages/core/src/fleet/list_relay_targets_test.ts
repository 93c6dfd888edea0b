import { expect, test } from "vitest";
import { listRelayTargets } from "./list_relay_targets.ts";

// e and w don't hear each other; a, b and c hear both.
const missing = new Map([
  ["e", ["w"]],
  ["w", ["e"]],
]);

function listUnheard(self: string): ReadonlyMap<string, readonly string[]> {
  return new Map(
    ["a", "b", "c", "e", "w"]
      .filter((id) => id !== self)
      .map((id) => [id, missing.get(id) ?? []]),
  );
}

test("two of those that hear both pass a message on", () => {
  const relays = ["a", "b", "c"].filter((self) =>
    listRelayTargets("e", self, listUnheard(self)).includes("w"),
  );
  expect(relays).toHaveLength(2);
});

test("nobody else gets it twice", () => {
  const targets = ["a", "b", "c"].flatMap((self) => [
    ...listRelayTargets("e", self, listUnheard(self)),
  ]);
  expect(new Set(targets)).toEqual(new Set(["w"]));
});

test("where all hear all nothing is passed on", () => {
  const all = new Map([
    ["b", []],
    ["c", []],
  ]);
  expect(listRelayTargets("b", "a", all)).toEqual([]);
});
