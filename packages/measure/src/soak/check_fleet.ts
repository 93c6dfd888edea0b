import type { CustomerConfig } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";
import type { LedgerFault } from "./check_ledger.ts";
import { checkRates } from "./check_rates.ts";

/**
 * Checks the guarantees of a settled fleet. By `settledMs`, every reachable
 * instance has had the guaranteed time to adopt the last configuration.
 */
export function checkFleet(
  world: World,
  {
    settledMs,
    limits,
  }: {
    readonly settledMs: number;
    /** Highest limits of each customer across all revisions of the run. */
    readonly limits: Readonly<
      Record<string, Pick<CustomerConfig, "rate" | "burst">>
    >;
  },
): readonly LedgerFault[] {
  return [
    ...findStaleRevisions(world),
    ...findRevokedKeyRuns(world, settledMs),
    ...findEvacuatedRuns(world, settledMs),
    ...checkRates(world.ledger.calls, world.ledger.runs, limits),
  ];
}

function findStaleRevisions(world: World): readonly LedgerFault[] {
  return world.instanceIds
    .map((id) => ({ id, config: world.getState(id)?.config }))
    .filter(({ config }) => config?.revision !== world.config.revision)
    .map(({ id, config }) => ({
      guarantee: "in force on every reachable instance",
      detail: `${id} has revision ${config?.revision}`,
    }));
}

function findRevokedKeyRuns(
  { ledger, config }: World,
  settledMs: number,
): readonly LedgerFault[] {
  return ledger.runs
    .filter(({ startedMs }) => startedMs > settledMs)
    .filter(({ order }) => {
      const keys = config.document.customers[order?.customer ?? ""]?.keys;
      return keys?.some(({ id }) => id === order?.keyId) === false;
    })
    .map(({ workId, upstreamId }) => ({
      guarantee: "runs-for-own-customer",
      detail: `${workId} ran at ${upstreamId} after its key was withdrawn`,
    }));
}

function findEvacuatedRuns(
  { ledger, config }: World,
  settledMs: number,
): readonly LedgerFault[] {
  const { upstreams, dataCentres } = config.document;
  return ledger.runs
    .filter(({ startedMs }) => startedMs > settledMs)
    .filter(({ upstreamId }) => {
      const dataCentre = upstreams[upstreamId]?.dataCentre ?? "";
      return dataCentres[dataCentre]?.state === "out";
    })
    .map(({ workId, upstreamId }) => ({
      guarantee: "leaving-gets-no-work",
      detail: `${workId} ran at ${upstreamId}, which is taken out`,
    }));
}
