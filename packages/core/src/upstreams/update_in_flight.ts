import type { UpstreamId } from "../ids/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import type { WorkOrder } from "../work/types.ts";
import type { Upstream } from "./types.ts";

/** Adds `change` (1 or -1) to an upstream's counts of work in flight. */
export function updateInFlight(
  upstreams: Table<Upstream>,
  upstreamId: UpstreamId,
  { order, change }: { readonly order: WorkOrder; readonly change: 1 | -1 },
): Table<Upstream> {
  const upstream = upstreams[upstreamId];
  if (upstream === undefined) {
    return upstreams;
  }
  const { lane, workId, isIdempotent } = order;
  const isBatch = lane === "batch";
  return setEntry(upstreams, upstreamId, {
    ...upstream,
    inFlight: upstream.inFlight + change,
    batchInFlight: upstream.batchInFlight + (isBatch ? change : 0),
    batchRuns:
      isBatch && isIdempotent
        ? updateBatchRuns(upstream, workId, change)
        : upstream.batchRuns,
  });
}

function updateBatchRuns(
  { batchRuns }: Upstream,
  workId: WorkOrder["workId"],
  change: 1 | -1,
): Upstream["batchRuns"] {
  return change === 1
    ? [...batchRuns, workId]
    : batchRuns.filter((id) => id !== workId);
}
