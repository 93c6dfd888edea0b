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
import { nameRequest } from "./name_request.ts";
import { reportRefusals } from "./report_refusals.ts";

/** What the routes need of the rest of the daemon. */
export type CallerParts = {
  readonly readConfig: () => Config | undefined;
  readonly calls: CallerTask;
  readonly jobs: JobTask;
  readonly log: Log;
  readonly metrics: Metrics;
};

/** Creates the application that callers talk to. */
export function createCallerApp(parts: CallerParts): Koa {
  const app = new Koa();
  const router = new Router();
  const door = new CallAuthorizer(parts);
  app.on("error", ({ message }: Error) => {
    parts.log.info("caller-connection-failed", { message });
  });
  app.use((ctx, next) => {
    nameRequest(ctx);
    return next();
  });
  app.use((ctx, next) => reportRefusals(ctx, next, parts));
  addCompletionRoutes(router, door);
  addServiceRoutes(router, door);
  addBatchRoutes(router, {
    ...parts,
    authenticate: (ctx) => door.authenticate(ctx),
  });
  app.use(router.routes());
  app.use(() => {
    throw new HttpRefusal(404, "no such route", { code: "unknown_route" });
  });
  return app;
}
