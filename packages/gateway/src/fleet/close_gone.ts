import type { UpstreamEntry } from "@gooseberryline/core";
import type { UpstreamDirectory } from "./upstream_directory.ts";

/**
 * Closes the idle connections to an address that an upstream has left: another
 * service's may take it.
 */
export function closeGone(
  directory: Pick<UpstreamDirectory, "listAll">,
  before: UpstreamEntry | undefined,
  closeIdle: (address: string) => void,
): void {
  const isInUse = directory
    .listAll()
    .some(({ address }) => address === before?.address);
  if (before !== undefined && !isInUse) {
    closeIdle(before.address);
  }
}
