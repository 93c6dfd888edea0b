import type { ConfigDocument } from "@gooseberryline/core";
import type Router from "@koa/router";
import type { Context } from "koa";
import { buildOrder } from "./build_order.ts";
import type { CallAuthorizer } from "./call_authorizer.ts";
import { checkLimits } from "./check_limits.ts";
import { countCostTokens } from "./count_cost_tokens.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { parseCompletion } from "./parse_completion.ts";
import { readDeadline } from "./read_deadline.ts";
import { readTenantKey } from "./read_tenant_key.ts";

/** Registers the routes of model services on the router. */
export function addCompletionRoutes(
  router: Router,
  authorizer: CallAuthorizer,
): void {
  router.post(["/v1/chat/completions", "/v1/completions"], (ctx) =>
    answerCompletion(ctx, authorizer),
  );
  router.get("/v1/models", (ctx) => {
    const { document } = authorizer.requireConfig();
    const isOpen = hasOpenModel(document) && readTenantKey(ctx) === undefined;
    if (!isOpen) {
      authorizer.authenticate(ctx);
    }
    const data = listModels(document, isOpen);
    ctx.body = { object: "list", data };
  });
}

async function answerCompletion(
  ctx: Context,
  authorizer: CallAuthorizer,
): Promise<void> {
  const { document } = authorizer.requireConfig();
  const canBeAnonymous =
    hasOpenModel(document) && readTenantKey(ctx) === undefined;
  const limitBytes = canBeAnonymous
    ? findOpenBodyBytes(document)
    : authorizer.admitCustomer(ctx).chosen.profile.limits.bodyBytes;
  await authorizer.bodies.handleBody(ctx.req, limitBytes, (body) =>
    answerBody(ctx, authorizer, body),
  );
}

/**
 * Authorizes and answers a request whose body has been read. The key is checked
 * here, since it may have been revoked while the body was read.
 */
async function answerBody(
  ctx: Context,
  authorizer: CallAuthorizer,
  body: Buffer,
): Promise<void> {
  const { document } = authorizer.requireConfig();
  const request = parseCompletion(body, ctx.path);
  const service = requireModel(document, request.model);
  const { requester, chosen } = authorizer.admitCaller(ctx, service);
  const costTokens = countCostTokens(request.text, request.answerTokens);
  checkLimits(chosen, { model: service, costTokens });
  const key = ctx.get("idempotency-key");
  const order = buildOrder(requester, chosen, {
    service,
    text: request.text,
    costTokens,
    allowedMs: readDeadline(ctx, chosen.profile.deadlineMs),
    nowMs: Date.now(),
    idempotencyKey: key,
  });
  const isIdempotent = chosen.profile.idempotent;
  const shouldForwardKey = !isIdempotent && key !== "";
  ctx.respond = false;
  await authorizer.calls.answer(order, ctx.res, {
    method: "POST",
    path: ctx.path,
    headers: {
      "content-type": "application/json",
      ...(shouldForwardKey ? { "idempotency-key": key } : {}),
    },
    body,
    isStream: request.isStream,
    isIdempotent,
  });
}

function requireModel(document: ConfigDocument, model: string): string {
  const isKnown =
    Object.hasOwn(document.services, model) &&
    document.services[model]?.kind === "model";
  if (!isKnown) {
    const message = `model: unknown model ${JSON.stringify(model)}`;
    throw new HttpRefusal(404, message, { code: "model_not_found" });
  }
  return model;
}

function listOpenModels({ services }: ConfigDocument) {
  return Object.values(services).filter(
    ({ kind, openToAll }) => kind === "model" && openToAll,
  );
}

function hasOpenModel(document: ConfigDocument): boolean {
  return listOpenModels(document).length > 0;
}

function findOpenBodyBytes(document: ConfigDocument): number {
  const sizes = listOpenModels(document).map(
    ({ openProfile }) =>
      document.profiles[openProfile ?? ""]?.limits.bodyBytes ?? 0,
  );
  return Math.max(...sizes);
}

function listModels({ services }: ConfigDocument, isOpen: boolean) {
  return Object.entries(services)
    .filter(([, { kind }]) => kind === "model")
    .filter(([, { openToAll }]) => openToAll || !isOpen)
    .map(([id]) => ({
      id,
      object: "model",
      created: 0,
      owned_by: "gooseberryline",
    }));
}
