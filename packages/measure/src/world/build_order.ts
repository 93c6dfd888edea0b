import {
  type CustomerId,
  type KeyId,
  LANES,
  type ProfileName,
  type ServiceName,
  type WorkId,
  type WorkOrder,
} from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";

const COST_TOKENS = 50;
const DEADLINE_MS = 15_000;

/** Builds an online request from a customer of the simulated fleet. */
export function buildOrder(
  request: {
    readonly customer: string;
    readonly profile?: string;
    /** Time from now to the deadline, in milliseconds. */
    readonly deadlineMs?: number;
  },
  { workId, world }: { readonly workId: string; readonly world: World },
): WorkOrder {
  const { customer, profile = "counter", deadlineMs = DEADLINE_MS } = request;
  const isIdempotent = world.config.document.profiles[profile]?.idempotent;
  return {
    workId: workId as WorkId,
    origin: { kind: "request" },
    lane: LANES.ONLINE,
    customer: customer as CustomerId,
    keyId: `${customer}-key` as KeyId,
    profile: profile as ProfileName,
    service: "letterdesk-llm" as ServiceName,
    isIdempotent: isIdempotent ?? true,
    costTokens: COST_TOKENS,
    prefixHash: 0,
    deadlineMs: world.nowMs + deadlineMs,
  };
}
