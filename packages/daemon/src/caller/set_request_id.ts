import { randomUUID } from "node:crypto";
import type { Context } from "koa";

const REQUEST_ID_HEADER = "x-request-id";

/**
 * Sets the request id of the response: the caller's id if it is valid,
 * otherwise a new UUID.
 */
export function setRequestId(ctx: Context): void {
  const requestedId = ctx.get(REQUEST_ID_HEADER);
  const isValid = /^[\w.:-]{1,128}$/.test(requestedId);
  ctx.set(REQUEST_ID_HEADER, isValid ? requestedId : randomUUID());
}
