import { createMembership } from "../membership/create_membership.ts";
import { createSharded } from "../sharded/create_sharded.ts";
import { createShares } from "../shares/create_shares.ts";
import type { InstanceSelf, InstanceState } from "./types.ts";

/** Creates an instance that knows nothing yet; `seed` feeds its choices. */
export function createInstance(
  self: InstanceSelf,
  seed: number,
): InstanceState {
  return {
    self,
    seed,
    attemptCount: 0,
    isStopping: false,
    config: undefined,
    limits: {},
    waiting: {},
    asks: {},
    shares: createShares(),
    upstreams: {},
    works: createSharded(),
    attempts: createSharded(),
    timers: {},
    queues: { services: {}, tags: {} },
    jobs: {},
    membership: createMembership(),
    platform: { callCount: 0, pending: {}, heardMs: 0 },
  };
}
