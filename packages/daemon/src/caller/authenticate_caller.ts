import type { Config } from "@gooseberryline/core";
import type { Context } from "koa";
import { HttpRefusal } from "./http_refusal.ts";
import type { KeyIndex } from "./key_index.ts";
import { readTenantKey } from "./read_tenant_key.ts";
import type { Caller } from "./types.ts";

/**
 * Finds who calls. Every failure gets the same refusal, so that it tells
 * nothing of the keys there are.
 */
export function authenticateCaller(
  ctx: Context,
  config: Config,
  keys: KeyIndex,
): Caller {
  const key = readTenantKey(ctx);
  const caller = key === undefined ? undefined : keys.find(config, key);
  if (caller === undefined) {
    throw new HttpRefusal(401, "a valid tenant key is needed", {
      code: "invalid_key",
      step: "authenticate",
    });
  }
  return caller;
}
