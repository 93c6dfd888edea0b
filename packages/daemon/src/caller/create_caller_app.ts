import type { Config } from "@gooseberryline/core";
import Router from "@koa/router";
import Koa from "koa";
import type { JobTask } from "../jobs/job_task.ts";
import type { Log } from "../logs/create_log.ts";
import type { Metrics } from "../metrics/types.ts";
import { addBatchRoutes } from "./add_batch_routes.ts";
import { addCompletionRoutes } from "./add_completion_routes.ts";
import { addServiceRoutes } from "./add_service_routes.ts";
import { CallAuthorizer } from "./call_authorizer.ts";
import type { CallerTask } from "./caller_task.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { reportRefusals } from "./report_refusals.ts";
import { setRequestId } from "./set_request_id.ts";

/** Dependencies of the caller routes. */
export type CallerParts = {
  readonly readConfig: () => Config | undefined;
  readonly calls: CallerTask;
  readonly jobs: JobTask;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Creates the Koa application that serves the caller API. */
export function createCallerApp(parts: CallerParts): Koa {
  const app = new Koa();
  const router = new Router();
  const authorizer = new CallAuthorizer(parts);
  app.on("error", ({ message }: Error) => {
    parts.log.info("caller-connection-failed", { message });
  });
  app.use((ctx, next) => {
    setRequestId(ctx);
    return next();
  });
  app.use((ctx, next) => reportRefusals(ctx, next, parts));
  addCompletionRoutes(router, authorizer);
  addServiceRoutes(router, authorizer);
  addBatchRoutes(router, {
    ...parts,
    authenticate: (ctx) => authorizer.authenticate(ctx),
  });
  app.use(router.routes());
  app.use(() => {
    throw new HttpRefusal(404, "no such route", { code: "unknown_route" });
  });
  return app;
}
