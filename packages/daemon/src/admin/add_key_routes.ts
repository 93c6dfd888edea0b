import { createHash, randomBytes, randomUUID } from "node:crypto";
import type { ConfigDocument } from "@gooseberryline/core";
import type Router from "@koa/router";
import type { Context } from "koa";
import { AdminRefusal } from "./admin_refusal.ts";
import { changeConfig } from "./change_config.ts";
import { ConfigStore } from "./config_store.ts";
import type { AdminParts, OperatorRole } from "./types.ts";

const KEY_BYTES = 32;
const KEY_PATH = "/admin/v1/customers/:customer/keys";

type KeyEntry = ConfigDocument["customers"][string]["keys"][number];

/** Adds the routes to issue and revoke customers' API keys. */
export function addKeyRoutes(
  router: Router,
  { platform, log }: AdminParts,
  requireRole: (ctx: Context, role: OperatorRole) => string,
): void {
  const store = new ConfigStore(platform);
  router.post(KEY_PATH, async (ctx) => {
    const operator = requireRole(ctx, "operator");
    const customer = String(ctx.params.customer);
    const id = `key-${randomUUID().slice(0, 8)}`;
    const key = `glk_${randomBytes(KEY_BYTES).toString("base64url")}`;
    const hash = createHash("sha256").update(key).digest("hex");
    const revision = await changeConfig(store, (document) =>
      setKeys(document, customer, (keys) => [...keys, { id, hash }]),
    );
    log.info("key-issued", { operator, customer, keyId: id, revision });
    ctx.status = 201;
    ctx.body = { id, key, revision };
  });
  router.delete([KEY_PATH, `${KEY_PATH}/:id`], async (ctx) => {
    const operator = requireRole(ctx, "operator");
    const customer = String(ctx.params.customer);
    const id = String(ctx.params.id ?? ctx.query.id ?? "");
    const revision = await changeConfig(store, (document) =>
      setKeys(document, customer, (keys) => dropKey(keys, id)),
    );
    log.info("key-withdrawn", { operator, customer, keyId: id, revision });
    ctx.body = { id, revision };
  });
}

function dropKey(keys: readonly KeyEntry[], id: string): readonly KeyEntry[] {
  if (!keys.some((key) => key.id === id)) {
    throw new AdminRefusal(404, "key_not_found", `no key "${id}"`);
  }
  return keys.filter((key) => key.id !== id);
}

function setKeys(
  document: ConfigDocument,
  customer: string,
  change: (keys: readonly KeyEntry[]) => readonly KeyEntry[],
): ConfigDocument {
  const customerEntry = document.customers[customer];
  if (customerEntry === undefined) {
    throw new AdminRefusal(
      404,
      "customer_not_found",
      `no customer "${customer}"`,
    );
  }
  const keys = [...change(customerEntry.keys)];
  return {
    ...document,
    customers: {
      ...document.customers,
      [customer]: { ...customerEntry, keys },
    },
  };
}
