import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { retainShares } from "./retain_shares.ts";
import type { ShareLowerAsked } from "./types.ts";

/**
 * Gives up shares at a duty holder's wish; the answer follows once no token
 * is lent out against them. An instance that doesn't know the record of that
 * version gives no answer.
 */
export function reduceShares(
  state: InstanceState,
  {
    from,
    asked,
  }: { readonly from: InstanceId; readonly asked: ShareLowerAsked },
  nowMs: number,
): Step {
  const { group, version, shares } = asked;
  if (state.shares.groups[group]?.version !== version) {
    return { state, effects: [] };
  }
  const kept = retainShares(state, { groupId: group, version, shares }, nowMs);
  const answer = {
    to: from,
    dueMs: kept.clearMs,
    message: { kind: "share-lowered", group, version, shares: kept.kept },
  } as const;
  const after = kept.state.shares;
  const answers = [...after.answers, answer];
  return {
    state: { ...kept.state, shares: { ...after, answers } },
    effects: [],
  };
}
