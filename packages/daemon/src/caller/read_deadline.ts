import type { Context } from "koa";
import { HttpRefusal } from "./http_refusal.ts";

const DEADLINE_HEADER = "x-deadline-ms";

/**
 * Returns the time allowed for a request in milliseconds: the deadline header's
 * value, capped by the profile's.
 */
export function readDeadline(ctx: Context, profileMs: number): number {
  const text = ctx.get(DEADLINE_HEADER);
  if (text === "") {
    return profileMs;
  }
  if (!/^\d{1,10}$/.test(text)) {
    const message = `${DEADLINE_HEADER}: a whole number of ms is needed`;
    throw new HttpRefusal(400, message, { code: "invalid_header" });
  }
  return Math.min(Number(text), profileMs);
}
