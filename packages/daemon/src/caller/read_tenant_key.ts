import type { Context } from "koa";

/** Reads the tenant key that came with a request, if one did. */
export function readTenantKey(ctx: Context): string | undefined {
  const found = /^bearer +(\S+) *$/i.exec(ctx.get("authorization"));
  return found?.[1];
}
