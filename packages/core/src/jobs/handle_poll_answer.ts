import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import type { PlatformAnswer } from "../platform/types.ts";
import { adoptJob } from "./adopt_job.ts";
import type { JobRecord } from "./types.ts";

/** Takes up the job records that changed. */
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
  const heard = { ...jobs, revision };
  return chainAll({ ...state, jobs: heard }, records, (at, found) =>
    adoptJob(at, {
      record: JSON.parse(found.value) as JobRecord,
      version: found.version,
      nowMs,
    }),
  );
}
