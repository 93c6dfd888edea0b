import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { cancelJobsWithRevokedKey } from "../jobs/cancel_jobs_with_revoked_key.ts";
import { buildLimits } from "../limits/build_limits.ts";
import { dropWaitingOrders } from "../limits/drop_waiting_orders.ts";
import { listSharded } from "../sharded/list_sharded.ts";
import { buildUpstreams } from "../upstreams/build_upstreams.ts";
import { cancelWork } from "../work/cancel_work.ts";
import { refuseOrder } from "../work/refuse_order.ts";
import type { WorkOrder } from "../work/types.ts";
import { holdsKey } from "./holds_key.ts";
import type { Config } from "./types.ts";

/**
 * Adopts a configuration if its revision is higher than the current one.
 * Cancels work and jobs whose key the new document no longer contains.
 */
export function adoptConfig(
  state: InstanceState,
  config: Config,
  nowMs: number,
): Step {
  const before = state.config?.revision ?? 0;
  if (config.revision <= before) {
    return { state, effects: [] };
  }
  const adopted: InstanceState = {
    ...buildLimits({ ...state, config }, nowMs),
    upstreams: buildUpstreams(state.upstreams, config.document),
  };
  const isWithdrawn = (order: WorkOrder): boolean =>
    !holdsKey(config.document, order);
  const remaining = dropWaitingOrders(adopted, isWithdrawn);
  const withdrawn = listSharded(remaining.state.works)
    .map(({ order }) => order)
    .filter(isWithdrawn);
  const cancelled = chainAll(
    remaining.state,
    withdrawn,
    (current, { workId }) => cancelWork(current, workId, "key_withdrawn"),
  );
  const refused = chainStep(cancelled, (after) =>
    chainAll(after, remaining.dropped, (current, order) =>
      refuseOrder(current, order, {
        code: "key_withdrawn",
        message: "the tenant key was withdrawn",
      }),
    ),
  );
  return chainStep(refused, (after) => cancelJobsWithRevokedKey(after, nowMs));
}
