import { UPSTREAM_LIMITS } from "./constants.ts";

/** How the requests that a window may hold beyond the limit are used. */
export type LimitExcess = {
  /** Number of instances that may send. */
  readonly senders: number;
  /** Requests that may be sent at once after a pause. */
  readonly burst: number;
};

/** Divides the requests that a window may hold beyond `perSecond`. */
export function countLimitExcess(perSecond: number): LimitExcess {
  const { OVER, WINDOW_S, SLACK, SENDER_SHARE } = UPSTREAM_LIMITS;
  const excess = perSecond * (OVER - 1) * WINDOW_S + SLACK;
  const senders = Math.max(1, Math.floor(excess * SENDER_SHARE));
  return { senders, burst: Math.max(1, excess - senders) };
}
