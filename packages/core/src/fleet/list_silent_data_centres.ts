import type { FleetMember } from "./types.ts";

/**
 * Lists the data centres none of whose instances is heard while others are: a
 * sign that they are cut off from here, or without power, and their upstreams
 * with them. Where nobody at all is heard nothing can be told.
 */
export function listSilentDataCentres(
  others: readonly FleetMember[],
  isHeard: (instanceId: string) => boolean,
): ReadonlySet<string> {
  const heard = others.filter(({ id }) => isHeard(id));
  const speaking = new Set(heard.map(({ dataCentre }) => dataCentre));
  const all = others.map(({ dataCentre }) => dataCentre);
  return new Set(
    speaking.size === 0 ? [] : all.filter((name) => !speaking.has(name)),
  );
}
