import { findChain } from "./find_chain.ts";
import { findSpaced } from "./find_spaced.ts";
import type { Crash, CrashSuspect } from "./types.ts";

/** Crashes that speak against a request or part since its last sound answer. */
export type KeyEvidence = {
  readonly key: string;
  readonly crashes: readonly Crash[];
  /** Those of them that followed each other, in order of time. */
  readonly chain: readonly Crash[];
  /** Those of them that lie apart, in order of time. */
  readonly spaced: readonly Crash[];
};

/** How the keys of suspects are found, requests or parts. */
export type KeySource = {
  readonly listSuspects: (crash: Crash) => readonly CrashSuspect[];
  readonly listKeys: (suspect: CrashSuspect) => readonly string[];
};

/**
 * Lists the keys with crashes against them, those with the longest chains first,
 * then those with most crashes.
 */
export function collectEvidence(
  crashes: readonly Crash[],
  { listSuspects, listKeys }: KeySource,
  getLastSoundMs: (key: string) => number,
): readonly KeyEvidence[] {
  const byKey = new Map<string, Crash[]>();
  crashes.forEach((crash) => {
    [...new Set(listSuspects(crash).flatMap(listKeys))]
      .filter((key) => getLastSoundMs(key) < crash.atMs)
      .forEach((key) => {
        byKey.set(key, [...(byKey.get(key) ?? []), crash]);
      });
  });
  return [...byKey]
    .map(([key, against]) => {
      const listWithKey = (crash: Crash) =>
        listSuspects(crash).filter((suspect) =>
          listKeys(suspect).includes(key),
        );
      const chain = findChain(against, listWithKey);
      return { key, crashes: against, chain, spaced: findSpaced(against) };
    })
    .sort(
      (a, b) =>
        b.chain.length - a.chain.length ||
        b.crashes.length - a.crashes.length ||
        a.key.localeCompare(b.key),
    );
}
