import { STORE_PATHS } from "./constants.ts";
import type { DirectPath } from "./types.ts";

/** Records that a probe is sent; the next one follows after twice the time. */
export function recordProbe(path: DirectPath, nowMs: number): DirectPath {
  if (path.kind === "sound") {
    return path;
  }
  const probes = path.probes + 1;
  const delayMs = Math.min(
    STORE_PATHS.MAX_PROBE_DELAY_MS,
    STORE_PATHS.MIN_PROBE_DELAY_MS * 2 ** probes,
  );
  return { kind: "suspect", probes, probeAtMs: nowMs + delayMs };
}
