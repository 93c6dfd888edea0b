import type { MetadataEvent } from "./types.ts";

/** Key of the record that has changed. */
export function getEventKey(event: MetadataEvent): string {
  return event.kind === "set" ? event.item.key : event.key;
}
