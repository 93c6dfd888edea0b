import type { CustomerId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { checkInvariant } from "../invariants/check_invariant.ts";
import { buildLimits } from "../limits/build_limits.ts";
import { dropWaiting } from "../limits/drop_waiting.ts";
import { listSharded } from "../sharded/list_sharded.ts";
import { buildUpstreams } from "../upstreams/build_upstreams.ts";
import { cancelWork } from "../work/cancel_work.ts";
import { refuseOrder } from "../work/refuse_order.ts";
import type { WorkOrder } from "../work/types.ts";
import type { Config, ConfigDocument } from "./types.ts";

/**
 * Adopts a configuration of a higher revision; ignores any other. Work of a
 * key that the new document no longer holds is cancelled.
 */
export function adoptConfig(
  state: InstanceState,
  config: Config,
  nowMs: number,
): Step {
  const held = state.config?.revision ?? 0;
  if (config.revision <= held) {
    return { state, effects: [] };
  }
  checkInvariant(
    "revision-never-reverts",
    config.revision > held,
    () => `${held} to ${config.revision}`,
  );
  const adopted: InstanceState = {
    ...buildLimits({ ...state, config }, nowMs),
    upstreams: buildUpstreams(state.upstreams, config.document),
  };
  const isWithdrawn = ({ keyId, customer }: WorkOrder): boolean =>
    keyId !== undefined && !holdsKey(config.document, customer, keyId);
  const withdrawn = listSharded(adopted.works)
    .map(({ order }) => order)
    .filter(isWithdrawn);
  const kept = dropWaiting(adopted, isWithdrawn);
  const cancelled = chainAll(kept.state, withdrawn, (at, { workId }) =>
    cancelWork(at, workId, "key_withdrawn"),
  );
  return chainStep(cancelled, (at) =>
    chainAll(at, kept.dropped, (before, order) =>
      refuseOrder(before, order, {
        code: "key_withdrawn",
        message: "the key was withdrawn",
      }),
    ),
  );
}

function holdsKey(
  document: ConfigDocument,
  customer: CustomerId,
  keyId: string,
): boolean {
  const keys = document.customers[customer]?.keys ?? [];
  return keys.some(({ id }) => id === keyId);
}
