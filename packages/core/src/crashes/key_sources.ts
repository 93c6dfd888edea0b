import type { KeySource } from "./collect_evidence.ts";
import { listLikelySuspects } from "./list_likely_suspects.ts";
import type { CrashSuspect } from "./types.ts";

function listRequest({ request }: CrashSuspect): readonly string[] {
  return request === "" ? [] : [request];
}

/** What may be the cause of crashes. */
export const keySources = {
  /** Prompt parts of the likely suspects. */
  likelyParts: {
    listSuspects: listLikelySuspects,
    listKeys: ({ parts }) => parts,
  },
  likelyRequests: { listSuspects: listLikelySuspects, listKeys: listRequest },
  /** Requests in any state. */
  allRequests: {
    listSuspects: ({ suspects }) => suspects,
    listKeys: listRequest,
  },
} as const satisfies Record<string, KeySource>;
