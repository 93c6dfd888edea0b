import { expect, test } from "vitest";
import { canRefuseByTable } from "./can_refuse_by_table.ts";
import type { TableFacts } from "./types.ts";

const CURRENT: TableFacts = {
  isReadable: true,
  knownRevision: 5,
  peerRevision: 5,
  isConfirmed: true,
  wasMissing: false,
  peers: 4,
  agreeingPeers: 4,
};
const REPEAT = { isConfirmed: false, wasMissing: true };

// Guards against a refusal for good by an instance that may be behind.
test.each([
  ["a peer has seen a later change", { peerRevision: 6 }],
  ["the newest configuration can't be read", { isReadable: false }],
  ["the store has not been asked", { isConfirmed: false }],
  ["no peer reaches the store", { ...REPEAT, agreeingPeers: 0 }],
  ["most peers say something else", { ...REPEAT, agreeingPeers: 1 }],
  ["there is no peer", { ...REPEAT, peers: 0, agreeingPeers: 0 }],
  ["a peer is ahead of the others", { ...REPEAT, peerRevision: 6 }],
])("nothing is refused for good while %s", (_, facts) => {
  expect(canRefuseByTable({ ...CURRENT, ...facts })).toBe(false);
});

test.each([
  ["the store has just shown it", { agreeingPeers: 0 }],
  ["the store is ahead of the peers", { knownRevision: 9 }],
  ["half of the peers agree", { ...REPEAT, agreeingPeers: 2 }],
])("what the table lacks is refused when %s", (_, facts) => {
  expect(canRefuseByTable({ ...CURRENT, ...facts })).toBe(true);
});
