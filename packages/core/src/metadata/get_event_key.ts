import type { MetadataEvent } from "./types.ts";

/** Returns the key of the changed record. */
export function getEventKey(event: MetadataEvent): string {
  return event.kind === "set" ? event.item.key : event.key;
}
