import { PlatformError } from "@gooseberryline/protocol";
import Router from "@koa/router";
import Koa, { type Context } from "koa";
import { addConfigRoutes } from "./add_config_routes.ts";
import { addDataCentreRoutes } from "./add_data_centre_routes.ts";
import { addKeyRoutes } from "./add_key_routes.ts";
import { addReportRoutes } from "./add_report_routes.ts";
import { AdminRefusal } from "./admin_refusal.ts";
import { authenticateOperator } from "./authenticate_operator.ts";
import type { AdminParts, OperatorRole } from "./types.ts";

/** Creates the Koa application of the admin API. */
export function createAdminApp(parts: AdminParts): Koa {
  const app = new Koa();
  const router = new Router();
  const requireRole = (ctx: Context, role: OperatorRole): string =>
    authenticateOperator(parts.operators, ctx.get("authorization"), role).name;
  app.use((ctx, next) => reportRefusals(ctx, next, parts));
  router.get("/healthz", (ctx) => {
    ctx.body = { ok: true };
  });
  router.get("/readyz", (ctx) => {
    const { config, isStopping } = parts.readState();
    const isReady = config !== undefined && !isStopping;
    ctx.status = isReady ? 200 : 503;
    ctx.body = { ok: isReady };
  });
  addConfigRoutes(router, parts, requireRole);
  addKeyRoutes(router, parts, requireRole);
  addDataCentreRoutes(router, parts, requireRole);
  addReportRoutes(router, parts, requireRole);
  app.use(router.routes());
  app.use(() => {
    throw new AdminRefusal(404, "unknown_route", "no such route");
  });
  return app;
}

async function reportRefusals(
  ctx: Context,
  next: Koa.Next,
  { log }: AdminParts,
): Promise<void> {
  try {
    await next();
  } catch (error) {
    const refusal = describeRefusal(error);
    if (refusal.status >= 500) {
      log.error("admin-failed", { path: ctx.path, message: String(error) });
    }
    ctx.status = refusal.status;
    ctx.body = refusal.body;
  }
}

function describeRefusal(error: unknown): AdminRefusal {
  if (error instanceof AdminRefusal) {
    return error;
  }
  return error instanceof PlatformError
    ? new AdminRefusal(503, "store_unavailable", error.message, {
        step: error.step,
        peer: error.peer,
      })
    : new AdminRefusal(500, "internal", "internal error");
}
