import { randomUUID } from "node:crypto";
import type { Config, ServiceConfig } from "@gooseberryline/core";
import Router from "@koa/router";
import Koa, { type Context } from "koa";
import type { JobTask } from "../jobs/job_task.ts";
import type { Log } from "../logs/create_log.ts";
import { addBatchRoutes } from "./add_batch_routes.ts";
import { buildOrder } from "./build_order.ts";
import type { CallerTask } from "./caller_task.ts";
import { chooseProfile } from "./choose_profile.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { KeyIndex } from "./key_index.ts";
import { parseJson } from "./parse_json.ts";
import { readBody } from "./read_body.ts";
import type { Caller } from "./types.ts";

const PROFILE_HEADER = "x-gooseberryline-profile";

/** What the routes need of the rest of the daemon. */
export type CallerParts = {
  readonly readConfig: () => Config | undefined;
  readonly calls: CallerTask;
  readonly jobs: JobTask;
  readonly log: Log;
};

/** Creates the application that callers talk to. */
export function createCallerApp(parts: CallerParts): Koa {
  const app = new Koa();
  const router = new Router();
  const keys = new KeyIndex();
  const authenticate = (ctx: Context): Caller =>
    authenticateCaller(ctx, requireConfig(parts), keys);
  app.use(nameRequest);
  app.use((ctx, next) => reportRefusals(ctx, next, parts.log));
  router.post(["/v1/chat/completions", "/v1/completions"], (ctx) =>
    answerCompletion(ctx, authenticate(ctx), parts),
  );
  router.get("/v1/models", (ctx) => {
    authenticate(ctx);
    const { services } = requireConfig(parts).document;
    const data = Object.entries(services)
      .filter(([, service]) => service.kind === "model")
      .map(([id]) => ({
        id,
        object: "model",
        created: 0,
        owned_by: "gooseberryline",
      }));
    ctx.body = { object: "list", data };
  });
  addBatchRoutes(router, { ...parts, authenticate });
  app.use(router.routes());
  app.use(() => {
    throw new HttpRefusal(404, "no such route", { code: "unknown_route" });
  });
  return app;
}

function nameRequest(ctx: Context, next: Koa.Next): Promise<void> {
  const given = ctx.get("x-request-id");
  const isSound = /^[\w.-]{1,128}$/.test(given);
  ctx.set("x-request-id", isSound ? given : randomUUID());
  return next();
}

async function reportRefusals(
  ctx: Context,
  next: Koa.Next,
  log: Log,
): Promise<void> {
  try {
    await next();
  } catch (error) {
    const refusal =
      error instanceof HttpRefusal
        ? error
        : new HttpRefusal(500, "internal error", {
            code: "internal",
            run: "may have run",
          });
    const { code, step, peer } = refusal.body.error;
    const requestId = String(ctx.response.get("x-request-id"));
    log.warn("refused", { requestId, code, step, peer });
    if (refusal.status === 500) {
      log.error("internal-error", { requestId, stack: String(error) });
    }
    ctx.status = refusal.status;
    ctx.set(refusal.headers);
    ctx.body = refusal.body;
  }
}

function requireConfig({ readConfig }: CallerParts): Config {
  const config = readConfig();
  if (config === undefined) {
    throw new HttpRefusal(503, "no configuration yet", { code: "not_ready" });
  }
  return config;
}

function authenticateCaller(
  ctx: Context,
  config: Config,
  keys: KeyIndex,
): Caller {
  const [scheme, key] = ctx.get("authorization").split(" ");
  const caller =
    scheme?.toLowerCase() === "bearer" && key !== undefined
      ? keys.find(config, key)
      : undefined;
  if (caller === undefined) {
    throw new HttpRefusal(401, "a valid tenant key is needed", {
      code: "invalid_key",
      step: "authenticate",
    });
  }
  return caller;
}

async function answerCompletion(
  ctx: Context,
  caller: Caller,
  parts: CallerParts,
): Promise<void> {
  const { document } = requireConfig(parts);
  const named = ctx.get(PROFILE_HEADER) || caller.customer.defaultProfile;
  const chosen = chooseProfile(document, named);
  const body = await readBody(ctx.req, chosen.profile.limits.bodyBytes);
  const request = parseJson(body);
  const service = requireModel(document.services, request.model);
  const maxTokens = request.max_tokens;
  const order = buildOrder(caller, chosen, {
    service,
    text: JSON.stringify(request.messages ?? request.prompt ?? ""),
    maxTokens: typeof maxTokens === "number" ? maxTokens : undefined,
    deadlineHeader: ctx.get("x-deadline-ms"),
    nowMs: Date.now(),
  });
  ctx.respond = false;
  await parts.calls.answer(order, ctx.res, {
    method: "POST",
    path: ctx.path,
    headers: { "content-type": "application/json" },
    body,
    isStream: request.stream === true,
  });
}

function requireModel(
  services: Readonly<Record<string, ServiceConfig>>,
  model: unknown,
): string {
  const isKnown =
    typeof model === "string" &&
    Object.hasOwn(services, model) &&
    services[model]?.kind === "model";
  if (!isKnown) {
    throw new HttpRefusal(404, `unknown model ${JSON.stringify(model)}`, {
      code: "model_not_found",
    });
  }
  return model;
}
