import type { World } from "@gooseberryline/fakes";
import { readJob } from "./read_job.ts";
import type { SoakJob } from "./types.ts";

/** Returns whether a job has ended or was never accepted. */
export function isJobSettled(world: World, job: SoakJob): boolean {
  const phase = readJob(world, job)?.phase;
  return phase === undefined || phase === "completed" || phase === "cancelled";
}
