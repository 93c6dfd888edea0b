import type { UpstreamEntry } from "../placing/types.ts";

/** Returns an upstream's version; empty if it names none. */
export function getVersion({
  version,
}: Pick<UpstreamEntry, "version">): string {
  return version ?? "";
}
