import type { World } from "@gooseberryline/fakes";
import { readJob } from "./read_job.ts";
import type { SoakJob } from "./types.ts";

/** Whether a job has ended, or never was accepted. */
export function isJobOver(world: World, job: SoakJob): boolean {
  const phase = readJob(world, job)?.phase;
  return phase === undefined || phase === "completed" || phase === "cancelled";
}
