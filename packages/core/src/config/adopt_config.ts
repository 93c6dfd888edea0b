import { chainAll } from "../instance/chain_all.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { stopWithdrawn } from "../jobs/stop_withdrawn.ts";
import { refillBucket } from "../limits/refill_bucket.ts";
import type { Bucket } from "../limits/types.ts";
import { listSharded } from "../sharded/list_sharded.ts";
import type { Table } from "../shared/types.ts";
import { buildUpstreams } from "../upstreams/build_upstreams.ts";
import { cancelWork } from "../work/cancel_work.ts";
import { holdsKey } from "./holds_key.ts";
import type { Config, ConfigDocument } from "./types.ts";

/**
 * Adopts a configuration of a higher revision; ignores any other. Work
 * and jobs of a key that the new document no longer holds are cancelled.
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
    ...state,
    config,
    buckets: buildBuckets(state.buckets, config.document, nowMs),
    upstreams: buildUpstreams(state.upstreams, config.document),
  };
  const withdrawn = listSharded(adopted.works)
    .map(({ order }) => order)
    .filter((order) => !holdsKey(config.document, order))
    .map(({ workId }) => workId);
  const cancelled = chainAll(adopted, withdrawn, (at, workId) =>
    cancelWork(at, workId, "key_withdrawn"),
  );
  return chainStep(cancelled, (after) => stopWithdrawn(after, nowMs));
}

function buildBuckets(
  before: Table<Bucket>,
  document: ConfigDocument,
  nowMs: number,
): Table<Bucket> {
  return Object.fromEntries(
    Object.entries(document.customers).map(([id, { rate, burst }]) => {
      const held = before[id];
      const tokens =
        held === undefined
          ? burst
          : Math.min(burst, refillBucket(held, nowMs).tokens);
      return [id, { tokens, cap: burst, ratePerSecond: rate, atMs: nowMs }];
    }),
  );
}
