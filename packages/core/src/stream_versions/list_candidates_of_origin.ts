import type { Candidate } from "../placing/types.ts";
import { getVersion } from "./get_version.ts";
import type { StreamOrigin } from "./types.ts";

/**
 * Lists the candidates that may go on with what has this origin: a stream that
 * has begun, or an item's text. Anything may begin anywhere.
 */
export function listCandidatesOfOrigin(
  candidates: readonly Candidate[],
  origin: StreamOrigin | undefined,
): readonly Candidate[] {
  return origin === undefined
    ? candidates
    : candidates.filter(
        ({ entry }) =>
          entry.service === origin.service &&
          getVersion(entry) === origin.version,
      );
}
