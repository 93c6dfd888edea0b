import type { WorkEnd } from "./types.ts";

/** Maps the end of work to the event of its state chart. */
export function getEndEvent(end: WorkEnd): "COMPLETE" | "REFUSE" | "FAIL" {
  if (end.kind === "answered") {
    return "COMPLETE";
  }
  return end.refusal.run === "not run" ? "REFUSE" : "FAIL";
}
