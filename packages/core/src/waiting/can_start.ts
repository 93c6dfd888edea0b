import type { Pace } from "./types.ts";

/**
 * Whether a share allows one more request. It is rounded, so that all instances
 * together start as many as there are slots; any instance may have one in flight.
 */
export function canStart({ share, inFlight }: Pace): boolean {
  return inFlight === 0 || inFlight + 0.5 <= share;
}
