import { CRASHES, type CrashVerdict } from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";

/** The verdicts that were told, by upstream. */
export class ToldVerdicts {
  readonly #verdicts = new Map<string, CrashVerdict>();

  /** Records a verdict; returns whether it is known and had not been told. */
  record(upstreamId: string, verdict: CrashVerdict): boolean {
    if (verdict === "unknown" || this.#verdicts.get(upstreamId) === verdict) {
      return false;
    }
    addRecentEntry(this.#verdicts, upstreamId, verdict, CRASHES.MAX_EVIDENCE);
    return true;
  }
}
