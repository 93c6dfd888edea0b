import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PlatformAnswer } from "../platform/types.ts";
import { adoptJob } from "./adopt_job.ts";
import type { JobRecord } from "./types.ts";

/** Applies the job records that changed since the last poll. */
export function handlePollAnswer(
  state: InstanceState,
  answer: PlatformAnswer,
  nowMs: number,
): Step {
  const jobs = { ...state.jobs, isPolling: false };
  if (answer.kind !== "changed") {
    return { state: { ...state, jobs }, effects: [] };
  }
  const { revision, records } = answer;
  const updated = { ...jobs, revision };
  return chainAll({ ...state, jobs: updated }, records, (current, changed) =>
    adoptJob(current, {
      record: JSON.parse(changed.value) as JobRecord,
      version: changed.version,
      nowMs,
    }),
  );
}
