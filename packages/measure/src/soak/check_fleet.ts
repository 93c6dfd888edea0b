import type { CustomerConfig } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";
import type { LedgerFault } from "./check_ledger.ts";
import { checkRates } from "./check_rates.ts";

/**
 * Checks what must hold of a fleet at rest: `restedMs` is a moment by which
 * every instance in reach has had the time promised for a change to spread.
 */
export function checkFleet(
  world: World,
  {
    restedMs,
    limits,
  }: {
    readonly restedMs: number;
    /** Highest limits of each customer over all revisions of the run. */
    readonly limits: Readonly<
      Record<string, Pick<CustomerConfig, "rate" | "burst">>
    >;
  },
): readonly LedgerFault[] {
  return [
    ...findOldRevisions(world),
    ...findWithdrawnRuns(world, restedMs),
    ...findRunsTakenOut(world, restedMs),
    ...checkRates(world.ledger.calls, world.ledger.runs, limits),
  ];
}

function findOldRevisions(world: World): readonly LedgerFault[] {
  return world.instanceIds
    .map((id) => ({ id, config: world.stateOf(id)?.config }))
    .filter(({ config }) => config?.revision !== world.config.revision)
    .map(({ id, config }) => ({
      promise: "in force on every reachable instance",
      detail: `${id} has revision ${config?.revision}`,
    }));
}

function findWithdrawnRuns(
  { ledger, config }: World,
  restedMs: number,
): readonly LedgerFault[] {
  return ledger.runs
    .filter(({ startedMs }) => startedMs > restedMs)
    .filter(({ order }) => {
      const keys = config.document.customers[order?.customer ?? ""]?.keys;
      return keys?.some(({ id }) => id === order?.keyId) === false;
    })
    .map(({ workId, upstreamId }) => ({
      promise: "runs-for-own-customer",
      detail: `${workId} ran at ${upstreamId} after its key was withdrawn`,
    }));
}

function findRunsTakenOut(
  { ledger, config }: World,
  restedMs: number,
): readonly LedgerFault[] {
  const { upstreams, dataCentres } = config.document;
  return ledger.runs
    .filter(({ startedMs }) => startedMs > restedMs)
    .filter(({ upstreamId }) => {
      const dataCentre = upstreams[upstreamId]?.dataCentre ?? "";
      return dataCentres[dataCentre]?.state === "out";
    })
    .map(({ workId, upstreamId }) => ({
      promise: "leaving-gets-no-work",
      detail: `${workId} ran at ${upstreamId}, which is taken out`,
    }));
}
