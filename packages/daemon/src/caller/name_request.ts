import { randomUUID } from "node:crypto";
import type { Context } from "koa";

const REQUEST_ID_HEADER = "x-request-id";

/** Echoes the caller's request id where it is sound, else makes one. */
export function nameRequest(ctx: Context): void {
  const given = ctx.get(REQUEST_ID_HEADER);
  const isSound = /^[\w.:-]{1,128}$/.test(given);
  ctx.set(REQUEST_ID_HEADER, isSound ? given : randomUUID());
}
