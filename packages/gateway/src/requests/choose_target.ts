import type { FleetMember, Placement } from "@gooseberryline/core";
import { chooseUpstream } from "./choose_upstream.ts";
import type { RequestRunParts } from "./request_run_parts.ts";
import type { AdmittedCall } from "./types.ts";

/** Where a request goes; `cut-off` if peers could not serve it either. */
export type Target =
  | Placement
  | { readonly kind: "peer"; readonly peer: FleetMember }
  | { readonly kind: "cut-off" };

type TargetChoice = Parameters<typeof chooseUpstream>[2] & {
  /** Ids of the peers to which the request was passed on. */
  readonly passedTo: ReadonlySet<string>;
};

/**
 * Chooses an upstream; a peer while this instance is cut off. Without a peer that
 * takes requests an upstream is tried all the same.
 */
export function chooseTarget(
  { view, passer }: Pick<RequestRunParts, "view" | "passer">,
  call: AdmittedCall,
  choice: TargetChoice,
): Target {
  if (passer?.isNeeded !== true) {
    return chooseUpstream(view, call, choice);
  }
  const peer = passer.choose(choice.passedTo);
  if (peer !== undefined) {
    return { kind: "peer", peer };
  }
  return choice.passedTo.size > 0
    ? { kind: "cut-off" }
    : chooseUpstream(view, call, choice);
}
