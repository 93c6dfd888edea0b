import type { InFlightWork } from "@gooseberryline/core";

/** Adds up the work in flight of both lanes. */
export function addWork(a: InFlightWork, b: InFlightWork): InFlightWork {
  return { online: a.online + b.online, batch: a.batch + b.batch };
}
