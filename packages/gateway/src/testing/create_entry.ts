import type { UpstreamEntry } from "@gooseberryline/core";

/** Creates the registration of an upstream for a test. */
export function createEntry(
  fields: Partial<UpstreamEntry> = {},
): UpstreamEntry {
  return {
    id: "u1",
    service: "s",
    address: "127.0.0.1:1",
    dataCentre: "a",
    slots: 8,
    isDraining: false,
    coldUntilMs: 0,
    ...fields,
  };
}
