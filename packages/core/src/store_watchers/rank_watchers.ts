import type { FleetMember } from "../fleet/types.ts";
import { DUTIES } from "../fleet/types.ts";

/**
 * Chooses those of a data centre's instances that watch the store for the others:
 * first those that run items, as they carry no callers, then by id. Instances that
 * see different candidates may choose differently, which costs calls and no news.
 */
export function rankWatchers(
  candidates: readonly FleetMember[],
  count: number,
): readonly FleetMember[] {
  return [...candidates].sort(orderMembers).slice(0, count);
}

function orderMembers(a: FleetMember, b: FleetMember): number {
  const byDuty = rankDuty(a) - rankDuty(b);
  return byDuty === 0 ? (a.id < b.id ? -1 : 1) : byDuty;
}

function rankDuty({ duty }: FleetMember): number {
  return duty === DUTIES.run ? 0 : 1;
}
