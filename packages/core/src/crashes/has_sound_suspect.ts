import type { Crash } from "./types.ts";

/** Returns whether a key that some crash speaks against was sound after it. */
export function hasSoundSuspect(
  crashes: readonly Crash[],
  getLastSoundMs: (key: string) => number,
): boolean {
  return crashes.some(({ suspects, atMs }) =>
    suspects
      .flatMap(({ request, parts }) => [request, ...parts])
      .some((key) => getLastSoundMs(key) > atMs),
  );
}
