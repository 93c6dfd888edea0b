import {
  countItemsToYield,
  groupBy,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";

type PlacedRun = { readonly upstream: UpstreamEntry };

/** Runs at one upstream of which some have to yield their slots. */
type Overload<Run extends PlacedRun> = {
  readonly service: string;
  readonly runs: readonly Run[];
  /** How many have to yield. */
  readonly count: number;
};

/** Lists the upstreams at which this worker's runs take too many slots. */
export function listOverloads<Run extends PlacedRun>(
  view: FleetView,
  runs: readonly Run[],
): readonly Overload<Run>[] {
  return [...groupBy(runs, ({ upstream }) => upstream.id).values()]
    .map((atUpstream) => ({
      service: atUpstream[0]?.upstream.service ?? "",
      runs: atUpstream,
      count: countYields(view, atUpstream),
    }))
    .filter(({ count }) => count > 0);
}

/** Returns how many of these runs, all at one upstream, have to yield. */
function countYields(view: FleetView, runs: readonly PlacedRun[]): number {
  const { load, settings } = view;
  const nowMs = view.readNowMs();
  const [first] = runs;
  if (first === undefined) {
    return 0;
  }
  const { upstream: entry } = first;
  const open = load.countInFlight(entry.id, nowMs);
  const workerId = settings.instanceId;
  return countItemsToYield({ entry, open }, workerId, [
    { workerId, items: runs.length },
    ...load.listPeerItems(entry.id, nowMs),
  ]);
}
