import { expect, test } from "vitest";
import { listRelayTargets } from "./list_relay_targets.ts";

// e and w don't receive each other's messages; a, b and c receive both.
const unheardBy = new Map([
  ["e", ["w"]],
  ["w", ["e"]],
]);

function listUnheard(self: string): ReadonlyMap<string, ReadonlySet<string>> {
  return new Map(
    ["a", "b", "c", "e", "w"]
      .filter((id) => id !== self)
      .map((id) => [id, new Set(unheardBy.get(id) ?? [])]),
  );
}

test("two of the peers that reach both relay a message", () => {
  const relays = ["a", "b", "c"].filter((self) =>
    listRelayTargets("e", self, listUnheard(self)).includes("w"),
  );
  expect(relays).toHaveLength(2);
});

test("no other peer receives a relayed copy", () => {
  const targets = ["a", "b", "c"].flatMap((self) => [
    ...listRelayTargets("e", self, listUnheard(self)),
  ]);
  expect(new Set(targets)).toEqual(new Set(["w"]));
});

test("nothing is relayed in a fully connected fleet", () => {
  const all = new Map([
    ["b", new Set<string>()],
    ["c", new Set<string>()],
  ]);
  expect(listRelayTargets("b", "a", all)).toEqual([]);
});
