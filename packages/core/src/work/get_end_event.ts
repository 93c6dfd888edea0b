import type { WorkEnd } from "./types.ts";

/** The event of the work's chart that an end is. */
export function getEndEvent(end: WorkEnd): "COMPLETE" | "REFUSE" | "FAIL" {
  if (end.kind === "answered") {
    return "COMPLETE";
  }
  return end.refusal.run === "not run" ? "REFUSE" : "FAIL";
}
