import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { listLive } from "../membership/list_live.ts";
import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { setEntry } from "../shared/set_entry.ts";
import { CLAIMS } from "./constants.ts";
import { locateGroup } from "./locate_group.ts";
import { offerClaim } from "./offer_claim.ts";

/** Asks the home of a waiting request's key, or the next one after it. */
export function askClaim(
  state: InstanceState,
  workId: string,
  nowMs: number,
): Step {
  const wait = state.claims.waits[workId];
  if (wait === undefined) {
    return { state, effects: [] };
  }
  const { claimKey, tries } = wait;
  const retryMs = nowMs + CLAIMS.RETRY_MS;
  const asked = { ...wait, tries: tries + 1, retryMs };
  const waits = setEntry(state.claims.waits, workId, asked);
  const after = { ...state, claims: { ...state.claims, waits } };
  const home = chooseHome(state, { claimKey, tries }, nowMs);
  const { instanceId } = state.self;
  return home === instanceId
    ? offerClaim(after, { claimKey, token: workId, from: home }, nowMs)
    : {
        state: after,
        effects: [
          {
            kind: "send-peer",
            to: home,
            message: { kind: "claim-asked", claimKey, token: workId },
          },
        ],
      };
}

/**
 * One home for the whole fleet first, so that few instances write a group;
 * after that the own data centre's, which may be cut off from the others.
 */
function chooseHome(
  state: InstanceState,
  { claimKey, tries }: { readonly claimKey: string; readonly tries: number },
  nowMs: number,
): InstanceId {
  const { self, membership } = state;
  const near = listLive(state, nowMs);
  const far = Object.values(membership.members).filter(
    ({ dataCentre }) => dataCentre !== self.dataCentre,
  );
  const members = tries === 0 ? [...near, ...far] : near;
  const ids = members
    .filter(({ isStopping }) => !isStopping)
    .map(({ instanceId }) => instanceId);
  const key = `claims|${locateGroup(claimKey)}`;
  const ranked = rankByRendezvous(key, [self.instanceId, ...ids]);
  const turn = Math.max(0, tries - 1) % ranked.length;
  return ranked[turn] ?? self.instanceId;
}
