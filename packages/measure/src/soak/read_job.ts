import type { JobRecord } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";
import type { SoakJob } from "./types.ts";

/** Reads a job's record from the simulated platform store. */
export function readJob(
  world: World,
  { spec }: SoakJob,
): JobRecord | undefined {
  const key = `jobs/${spec.customer}/${spec.jobId}`;
  const found = world.store.records.get(key, world.nowMs);
  return found === undefined
    ? undefined
    : (JSON.parse(found.value) as JobRecord);
}
