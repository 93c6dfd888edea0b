import type { UpstreamId } from "../ids/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { Table } from "../shared/types.ts";
import type { Lane } from "../work/types.ts";
import type { Upstream } from "./types.ts";

/** Adds `change` (1 or -1) to what an upstream has in flight. */
export function countInFlight(
  upstreams: Table<Upstream>,
  upstreamId: UpstreamId,
  { lane, change }: { readonly lane: Lane; readonly change: number },
): Table<Upstream> {
  const upstream = upstreams[upstreamId];
  if (upstream === undefined) {
    return upstreams;
  }
  return setEntry(upstreams, upstreamId, {
    ...upstream,
    inFlight: upstream.inFlight + change,
    batchInFlight: upstream.batchInFlight + (lane === "batch" ? change : 0),
  });
}
