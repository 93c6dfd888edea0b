import type { MetadataEvent } from "./types.ts";

/** Returns the store revision of the change. */
export function getEventRevision(event: MetadataEvent): number {
  return event.kind === "set" ? event.item.revision : event.revision;
}
