import type { FleetMember } from "../fleet/types.ts";
import { rankWatchers } from "./rank_watchers.ts";
import type { WatcherFacts } from "./types.ts";

/**
 * Chooses the peer that watches the store for an instance; undefined if it is to
 * watch the store itself. Those that reach the store go first. Where none does, the
 * choice stands, so that a store that is down is not asked by all.
 */
export function chooseWatcher(
  self: FleetMember,
  { peers, isReaching, isAvoided, count }: WatcherFacts,
): FleetMember | undefined {
  const members = [self, ...peers];
  const reaching = members.filter(({ id }) => isReaching(id));
  const watchers = rankWatchers(
    reaching.length > 0 ? reaching : members,
    count,
  );
  if (watchers.some(({ id }) => id === self.id)) {
    return undefined;
  }
  const usable = watchers.filter(({ id }) => !isAvoided(id));
  return usable[computeSpread(self.id) % usable.length];
}

/** Spreads instances over the watchers of their data centre. */
function computeSpread(id: string): number {
  return [...id].reduce((sum, letter) => sum + letter.charCodeAt(0), 0);
}
