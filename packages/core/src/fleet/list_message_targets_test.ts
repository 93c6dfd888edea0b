import { expect, test } from "vitest";
import { listMessageTargets } from "./list_message_targets.ts";
import type { FleetMember } from "./types.ts";

const SELF = { id: "a1", dataCentre: "a" };
const PEERS = ["a2", "a3", "b1", "b2", "b3", "c1", "c2"].map(createMember);

function createMember(id: string): FleetMember {
  return {
    id,
    incarnation: "1",
    address: id,
    port: 1,
    relayPort: 2,
    dataCentre: id.charAt(0),
    duty: "serve",
  };
}

function listIds(
  round: number,
  isReachable: (id: string) => boolean = () => true,
): readonly string[] {
  return listMessageTargets(SELF, PEERS, isReachable, round).map(
    ({ id }) => id,
  );
}

test("a message goes to the own data centre and to one instance of each other", () => {
  const ids = listIds(0);
  expect(ids).toHaveLength(4);
  expect(ids.slice(0, 2)).toEqual(["a2", "a3"]);
  expect(ids.slice(2).map((id) => id.charAt(0))).toEqual(["b", "c"]);
});

test("each instance of another data centre gets its turn", () => {
  const ids = [0, 1, 2, 3, 4, 5].flatMap((round) => listIds(round));
  expect(new Set(ids).size).toBe(PEERS.length);
});

test("an instance that is not reached is passed over while others are", () => {
  const ids = [0, 1, 2, 3].flatMap((round) =>
    listIds(round, (id) => id !== "b2"),
  );
  expect(ids).not.toContain("b2");
});

test("a data centre out of reach is tried all the same", () => {
  const ids = [0, 1, 2].flatMap((round) =>
    listIds(round, (id) => id.charAt(0) !== "b"),
  );
  expect(ids).toEqual(expect.arrayContaining(["b1", "b2", "b3"]));
});
