import { checkConfig } from "@gooseberryline/core";
import type Router from "@koa/router";
import type { Context } from "koa";
import getRawBody from "raw-body";
import { AdminRefusal } from "./admin_refusal.ts";
import { ConfigStore } from "./config_store.ts";
import type { AdminParts, OperatorRole } from "./types.ts";

const CONFIG_BYTES = 1_000_000;

/** Adds the routes to read and replace the entire configuration. */
export function addConfigRoutes(
  router: Router,
  { platform }: AdminParts,
  requireRole: (ctx: Context, role: OperatorRole) => string,
): void {
  const store = new ConfigStore(platform);
  router.get("/admin/v1/config", async (ctx) => {
    requireRole(ctx, "viewer");
    const { revision, document } = await store.read();
    ctx.set("etag", `"${revision}"`);
    ctx.body = { revision, document };
  });
  router.put("/admin/v1/config", async (ctx) => {
    requireRole(ctx, "operator");
    const expect = readExpected(ctx);
    const checked = checkConfig(await readJson(ctx));
    if (checked.kind === "invalid") {
      throw AdminRefusal.createInvalidConfig(checked.faults);
    }
    const write = await store.write(checked.document, expect);
    switch (write.kind) {
      case "written":
        ctx.set("etag", `"${write.revision}"`);
        ctx.body = { revision: write.revision };
        return;
      case "lost-race":
        throw new AdminRefusal(
          409,
          "lost_race",
          `the revision is ${write.revision} by now`,
          { revision: write.revision },
        );
      case "unknown":
        throw AdminRefusal.createUnknownWrite();
    }
  });
}

function readExpected(ctx: Context): number {
  const header = ctx.get("if-match");
  const match = /^"?(\d+)"?$/.exec(header);
  if (match === null) {
    throw new AdminRefusal(
      428,
      "if_match_needed",
      "If-Match with the present revision is needed",
    );
  }
  return Number(match[1]);
}

async function readJson(ctx: Context): Promise<unknown> {
  const raw = await getRawBody(ctx.req, { limit: CONFIG_BYTES }).catch(() => {
    throw new AdminRefusal(
      413,
      "body_too_large",
      `the document exceeds ${CONFIG_BYTES} bytes`,
    );
  });
  try {
    return JSON.parse(raw.toString());
  } catch (error) {
    throw new AdminRefusal(400, "invalid_json", (error as Error).message);
  }
}
