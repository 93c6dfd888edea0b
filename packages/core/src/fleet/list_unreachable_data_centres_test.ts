import { expect, test } from "vitest";
import { listUnreachableDataCentres } from "./list_unreachable_data_centres.ts";
import type { FleetMember } from "./types.ts";

function createMember(id: string, dataCentre: string): FleetMember {
  const place = { address: "127.0.0.1", port: 1, relayPort: 2, dataCentre };
  return { id, incarnation: "1", duty: "serve", ...place };
}

const members = [
  createMember("a1", "a"),
  createMember("b1", "b"),
  createMember("b2", "b"),
  createMember("c1", "c"),
];

test("a data centre is silent if none of its instances is reachable", () => {
  const reachable = new Set(["a1", "b2"]);
  const silent = listUnreachableDataCentres(members, (id) => reachable.has(id));
  expect([...silent]).toEqual(["c"]);
});

test("none is listed while no peer is reachable", () => {
  expect(listUnreachableDataCentres(members, () => false).size).toBe(0);
});
