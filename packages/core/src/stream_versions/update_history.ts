import { STREAM_VERSIONS } from "./constants.ts";
import type { VersionFacts, VersionHistory } from "./types.ts";

/**
 * Brings a history up to date with the versions that are listed; returns it as it
 * is if nothing changed. One that is begun says from when on it is complete.
 */
export function updateHistory(
  service: string,
  { history, listed, unixMs }: VersionFacts,
  sinceMs: number,
): VersionHistory {
  const known = history ?? { service, sinceMs, versions: {} };
  const kept = Object.entries(known.versions)
    .filter(([version]) => !listed.has(version))
    .map(([version, lastMs]) => [version, lastMs ?? unixMs] as const)
    .filter(([, lastMs]) => unixMs - lastMs < STREAM_VERSIONS.FORGET_MS);
  const current = [...listed].map((version) => [version, null] as const);
  const versions = Object.fromEntries([...kept, ...current]);
  return history !== undefined && holdsSame(history.versions, versions)
    ? history
    : { ...known, versions };
}

function holdsSame(
  a: VersionHistory["versions"],
  b: VersionHistory["versions"],
): boolean {
  const names = Object.keys(a);
  return (
    names.length === Object.keys(b).length &&
    names.every((name) => a[name] === b[name])
  );
}
