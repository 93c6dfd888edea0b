import type { Crash } from "./types.ts";

/** Crashes that speak against a request or part since its last sound answer. */
export type KeyEvidence = {
  readonly key: string;
  readonly crashes: readonly Crash[];
};

/** Lists the keys with crashes against them, those with most crashes first. */
export function collectEvidence(
  crashes: readonly Crash[],
  listKeys: (crash: Crash) => readonly string[],
  getLastSoundMs: (key: string) => number,
): readonly KeyEvidence[] {
  const byKey = new Map<string, Crash[]>();
  crashes.forEach((crash) => {
    [...new Set(listKeys(crash))]
      .filter((key) => getLastSoundMs(key) < crash.atMs)
      .forEach((key) => {
        byKey.set(key, [...(byKey.get(key) ?? []), crash]);
      });
  });
  return [...byKey]
    .map(([key, against]) => ({ key, crashes: against }))
    .sort(
      (a, b) =>
        b.crashes.length - a.crashes.length || a.key.localeCompare(b.key),
    );
}
