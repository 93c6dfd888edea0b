import { STREAM_VERSIONS } from "./constants.ts";
import type { VersionFacts } from "./types.ts";

/**
 * Returns the version that began each stream of a service that may still live;
 * undefined if there may have been several, or if the history is too short to say.
 */
export function findSoleVersion({
  history,
  listed,
  unixMs,
}: VersionFacts): string | undefined {
  const startMs = unixMs - STREAM_VERSIONS.STREAM_LIFE_MS;
  if (history === undefined || history.sinceMs > startMs) {
    return undefined;
  }
  const recent = Object.entries(history.versions)
    .filter(([, lastMs]) => lastMs === null || lastMs > startMs)
    .map(([version]) => version);
  const versions = new Set([...recent, ...listed]);
  const [first] = versions;
  return versions.size === 1 ? first : undefined;
}
