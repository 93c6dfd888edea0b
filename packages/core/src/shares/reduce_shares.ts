import type { InstanceId } from "../ids/types.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { retainShares } from "./retain_shares.ts";
import type { ShareReductionRequest } from "./types.ts";

/**
 * Reduces shares at the request of a share coordinator. The answer becomes due
 * once no lent token counts against them; an instance that doesn't know that
 * version of the record doesn't answer.
 */
export function reduceShares(
  state: InstanceState,
  {
    from,
    request,
  }: { readonly from: InstanceId; readonly request: ShareReductionRequest },
  nowMs: number,
): Step {
  const { group, version, shares } = request;
  if (state.shares.groups[group]?.version !== version) {
    return { state, effects: [] };
  }
  const reduction = retainShares(
    state,
    { groupId: group, version, shares },
    nowMs,
  );
  const answer = {
    to: from,
    dueMs: reduction.loansEndMs,
    message: { kind: "share-lowered", group, version, shares: reduction.kept },
  } as const;
  const after = reduction.state.shares;
  const answers = [...after.answers, answer];
  return {
    state: { ...reduction.state, shares: { ...after, answers } },
    effects: [],
  };
}
