import type { Config } from "@gooseberryline/core";
import Router from "@koa/router";
import Koa from "koa";

/** What the administration routes need of the rest of the daemon. */
export type AdminParts = { readonly readConfig: () => Config | undefined };

/** Creates the application that operators talk to. */
export function createAdminApp({ readConfig }: AdminParts): Koa {
  const app = new Koa();
  const router = new Router();
  router.get("/healthz", (ctx) => {
    ctx.body = { ok: true };
  });
  router.get("/readyz", (ctx) => {
    const isReady = readConfig() !== undefined;
    ctx.status = isReady ? 200 : 503;
    ctx.body = { ok: isReady };
  });
  app.use(router.routes());
  return app;
}
