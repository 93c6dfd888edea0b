import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { advanceClaimGroup } from "./advance_claim_group.ts";
import { CLAIMS } from "./constants.ts";
import { requestClaim } from "./request_claim.ts";
import { settleClaim } from "./settle_claim.ts";
import type { ClaimWait } from "./types.ts";

/** Asks again for claims that were not answered, and flushes groups. */
export function stepClaims(state: InstanceState, nowMs: number): Step {
  const due = Object.values(state.claims.waits).filter(
    ({ retryMs }) => retryMs <= nowMs,
  );
  const asked = chainAll(state, due, (at, wait) => retryWait(at, wait, nowMs));
  return chainStep(asked, (at) =>
    chainAll(at, Object.keys(at.claims.groups), (to, id) =>
      advanceClaimGroup(to, id, nowMs),
    ),
  );
}

function retryWait(
  state: InstanceState,
  { workId, startedMs }: ClaimWait,
  nowMs: number,
): Step {
  const isGone = getSharded(state.works, workId) === undefined;
  return isGone || nowMs - startedMs >= CLAIMS.GIVE_UP_MS
    ? settleClaim(state, { token: workId, verdict: "unavailable" })
    : requestClaim(state, workId, nowMs);
}
