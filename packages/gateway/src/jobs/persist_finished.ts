import { waitMs } from "../wait_ms.ts";
import { JOB_CONSTANTS } from "./constants.ts";
import type { OwnedJob } from "./owned_job.ts";

/** Lists what is finished of a job that is handed over, unless that takes too long. */
export async function persistFinished(
  owned: OwnedJob | undefined,
): Promise<void> {
  await Promise.race([
    owned?.persistFinished(),
    waitMs(JOB_CONSTANTS.PERSIST_TIMEOUT_MS),
  ]);
}
