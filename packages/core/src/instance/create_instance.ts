import { createClaims } from "../claims/create_claims.ts";
import { createJobs } from "../jobs/create_jobs.ts";
import { createMembership } from "../membership/create_membership.ts";
import { PRODUCT_POLICY } from "../policy/product_policy.ts";
import type { Policy } from "../policy/types.ts";
import { createSharded } from "../sharded/create_sharded.ts";
import { createShares } from "../shares/create_shares.ts";
import { createSlots } from "../slots/create_slots.ts";
import { RETRY_BOUNDS } from "../work/constants.ts";
import type { InstanceSelf, InstanceState } from "./types.ts";

/**
 * Creates the initial state of an instance. `seed` initializes its random
 * number generator.
 */
export function createInstance(
  self: InstanceSelf,
  seed: number,
  policy: Partial<Policy> = {},
): InstanceState {
  return {
    self,
    seed,
    policy: { ...PRODUCT_POLICY, ...policy },
    attemptCount: 0,
    isStopping: false,
    refuseFromMs: 0,
    config: undefined,
    limits: {},
    tokenQueues: {},
    loanRequests: {},
    shares: createShares(),
    upstreams: {},
    works: createSharded(),
    attempts: createSharded(),
    timers: [],
    queues: { services: {}, tags: {} },
    jobs: createJobs(),
    claims: createClaims(),
    membership: createMembership(),
    configPropagation: {
      startedMs: undefined,
      offered: undefined,
      pendingRequest: undefined,
      patches: [],
      isWatching: false,
      brokenUntilMs: 0,
      nextCheckMs: 0,
    },
    slots: createSlots(),
    retryBudget: RETRY_BOUNDS.MAX_RETRY_BUDGET,
    arrivals: {},
    platform: { callCount: 0, pending: {}, lastAnswerMs: 0 },
  };
}
