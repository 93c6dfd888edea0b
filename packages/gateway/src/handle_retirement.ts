import type { EventLog, MetadataStore } from "@gooseberryline/core";
import type { RecordDialect } from "./dialect/types.ts";
import type { JobRunner } from "./jobs/job_runner.ts";
import type { GatewaySettings } from "./settings/types.ts";
import { SHUTDOWN_TIMES } from "./shutdown_times.ts";
import { waitMs } from "./wait_ms.ts";

type RetirementParts = {
  readonly settings: Pick<GatewaySettings, "instanceId">;
  readonly store: MetadataStore;
  readonly dialect: { readonly records: RecordDialect };
  readonly log: EventLog;
};

/**
 * Releases this instance's jobs to others and reports completion, or resumes
 * claiming.
 */
export async function handleRetirement(
  { settings, store, dialect, log }: RetirementParts,
  runner: JobRunner,
  isRetired: boolean,
): Promise<void> {
  if (!isRetired) {
    runner.resumeClaims();
    return;
  }
  await runner.releaseAll();
  const { records } = dialect;
  const { key, value } = records.buildRetirementStatus(
    settings.instanceId,
    true,
  );
  const write = async (): Promise<void> => {
    const done = await store.commit({
      expect: [],
      set: [{ key, value }],
      remove: [],
    });
    if (done.kind !== "committed") {
      await waitMs(SHUTDOWN_TIMES.RETIREMENT_RETRY_MS);
      await write();
    }
  };
  await write();
  log.info("retired", { instance: settings.instanceId });
}
