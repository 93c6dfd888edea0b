import type { Context } from "koa";

/** Reads the tenant key from the bearer token of a request, if there is one. */
export function readTenantKey(ctx: Context): string | undefined {
  const match = /^bearer +(\S+) *$/i.exec(ctx.get("authorization"));
  return match?.[1];
}
