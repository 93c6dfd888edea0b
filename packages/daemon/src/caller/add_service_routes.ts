import type { ConfigDocument } from "@gooseberryline/core";
import type Router from "@koa/router";
import type { Context } from "koa";
import { buildOrder } from "./build_order.ts";
import type { CallAuthorizer } from "./call_authorizer.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { type LocatedCall, locateCall } from "./locate_call.ts";
import { pickHeaders } from "./pick_headers.ts";
import { readDeadline } from "./read_deadline.ts";
import { readTenantKey } from "./read_tenant_key.ts";

/** What a call counts for beside completions in the queues. */
const CALL_COST_TOKENS = 256;

type PlainCall = LocatedCall & {
  readonly key: string | undefined;
  readonly body: Buffer;
};

/** Adds the route of plain services. */
export function addServiceRoutes(router: Router, door: CallAuthorizer): void {
  router.all(/^\/services\//, (ctx) => answerCall(ctx, door));
}

async function answerCall(ctx: Context, door: CallAuthorizer): Promise<void> {
  const { document } = door.requireConfig();
  const { service, path } = locateCall(ctx.req.url ?? "");
  const key = readTenantKey(ctx);
  const limitBytes = door.findBodyLimit(ctx, service);
  requirePlain(document, service);
  checkKeyStays(path, key);
  await door.bodies.hold(ctx.req, limitBytes, (body) =>
    answerBody(ctx, door, { service, path, key, body }),
  );
}

/** Answers once the body is there; the key may have been withdrawn since. */
async function answerBody(
  ctx: Context,
  door: CallAuthorizer,
  { service, path, key, body }: PlainCall,
): Promise<void> {
  const { requester, chosen } = door.admitAnyone(ctx, service);
  const order = buildOrder(requester, chosen, {
    service,
    text: "",
    costTokens: CALL_COST_TOKENS,
    allowedMs: readDeadline(ctx, chosen.profile.deadlineMs),
    nowMs: Date.now(),
    idempotencyKey: ctx.get("idempotency-key"),
  });
  ctx.respond = false;
  await door.calls.answer(order, ctx.res, {
    method: ctx.method,
    path,
    headers: pickHeaders(ctx.headers, key),
    body,
    isStream: false,
    isPlain: true,
    isIdempotent: chosen.profile.idempotent,
  });
}

function requirePlain({ services }: ConfigDocument, service: string): void {
  const isKnown =
    Object.hasOwn(services, service) && services[service]?.kind === "plain";
  if (!isKnown) {
    const message = `unknown service ${JSON.stringify(service)}`;
    throw new HttpRefusal(404, message, { code: "unknown_service" });
  }
}

/** A key in the path or the query would reach the service: refuse it. */
function checkKeyStays(path: string, key: string | undefined): void {
  if (key !== undefined && decodeURIComponent(path).includes(key)) {
    const message = "path: the tenant key belongs in the header only";
    throw new HttpRefusal(400, message, { code: "key_in_path" });
  }
}
