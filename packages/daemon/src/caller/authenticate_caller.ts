import type { Config } from "@gooseberryline/core";
import type { Context } from "koa";
import { HttpRefusal } from "./http_refusal.ts";
import type { KeyIndex } from "./key_index.ts";
import { readTenantKey } from "./read_tenant_key.ts";
import type { Caller } from "./types.ts";

/**
 * Authenticates the caller by its tenant key. Every failure returns the same
 * refusal, so that a response reveals nothing about existing keys.
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
