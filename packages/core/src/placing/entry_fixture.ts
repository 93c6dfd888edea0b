import type { UpstreamEntry } from "./types.ts";

/** Upstream with eight slots, for tests. */
export const ENTRY_FIXTURE: UpstreamEntry = {
  id: "u1",
  service: "s",
  address: "127.0.0.1:1",
  dataCentre: "a",
  slots: 8,
  isDraining: false,
  coldUntilMs: 0,
};
