import type { ConfigDocument } from "@gooseberryline/core";
import type Router from "@koa/router";
import type { Context } from "koa";
import { buildForwardedHeaders } from "./build_forwarded_headers.ts";
import { buildOrder } from "./build_order.ts";
import type { CallAuthorizer } from "./call_authorizer.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { type LocatedCall, locateCall } from "./locate_call.ts";
import { readDeadline } from "./read_deadline.ts";
import { readTenantKey } from "./read_tenant_key.ts";

/**
 * Queue cost of a plain call, in tokens, so that it can be weighed against
 * completions.
 */
const CALL_COST_TOKENS = 256;

type PlainCall = LocatedCall & {
  readonly key: string | undefined;
  readonly body: Buffer;
};

/** Registers the route of plain services on the router. */
export function addServiceRoutes(
  router: Router,
  authorizer: CallAuthorizer,
): void {
  router.all(/^\/services\//, (ctx) => answerCall(ctx, authorizer));
}

async function answerCall(
  ctx: Context,
  authorizer: CallAuthorizer,
): Promise<void> {
  const { document } = authorizer.requireConfig();
  const { service, path } = locateCall(ctx.req.url ?? "");
  const key = readTenantKey(ctx);
  const limitBytes = authorizer.findBodyLimit(ctx, service);
  requirePlainService(document, service);
  checkPathOmitsKey(path, key);
  await authorizer.bodies.handleBody(ctx.req, limitBytes, (body) =>
    answerBody(ctx, authorizer, { service, path, key, body }),
  );
}

/**
 * Authorizes and answers a call whose body has been read. The key is checked
 * here, since it may have been revoked while the body was read.
 */
async function answerBody(
  ctx: Context,
  authorizer: CallAuthorizer,
  { service, path, key, body }: PlainCall,
): Promise<void> {
  const { requester, chosen } = authorizer.admitCaller(ctx, service);
  const order = buildOrder(requester, chosen, {
    service,
    text: "",
    costTokens: CALL_COST_TOKENS,
    allowedMs: readDeadline(ctx, chosen.profile.deadlineMs),
    nowMs: Date.now(),
    idempotencyKey: ctx.get("idempotency-key"),
  });
  ctx.respond = false;
  await authorizer.calls.answer(order, ctx.res, {
    method: ctx.method,
    path,
    headers: buildForwardedHeaders(ctx.headers, key),
    body,
    isStream: false,
    isPlain: true,
    isIdempotent: chosen.profile.idempotent,
  });
}

function requirePlainService(
  { services }: ConfigDocument,
  service: string,
): void {
  const isKnown =
    Object.hasOwn(services, service) && services[service]?.kind === "plain";
  if (!isKnown) {
    const message = `unknown service ${JSON.stringify(service)}`;
    throw new HttpRefusal(404, message, { code: "unknown_service" });
  }
}

/**
 * Throws if the path or query contains the tenant key, which would otherwise be
 * forwarded to the service.
 */
function checkPathOmitsKey(path: string, key: string | undefined): void {
  if (key !== undefined && decodeURIComponent(path).includes(key)) {
    const message = "path: the tenant key belongs in the header only";
    throw new HttpRefusal(400, message, { code: "key_in_path" });
  }
}
