import type Koa from "koa";
import type { Context } from "koa";
import type { Log } from "../logs/create_log.ts";
import type { Metrics } from "../metrics/types.ts";
import { HttpRefusal } from "./http_refusal.ts";

const INTERNAL_ERROR = 500;

/**
 * Koa middleware that answers errors thrown by the routes with a refusal, and
 * logs and counts them.
 */
export async function reportRefusals(
  ctx: Context,
  next: Koa.Next,
  { log, metrics }: { readonly log: Log; readonly metrics: Metrics },
): Promise<void> {
  try {
    await next();
  } catch (error) {
    const refusal =
      error instanceof HttpRefusal ? error : createInternalRefusal();
    const { code, step, peer } = refusal.body.error;
    const requestId = String(ctx.response.get("x-request-id"));
    log.warn("refused", {
      requestId,
      status: refusal.status,
      code,
      step,
      peer,
    });
    metrics.count("refusals", { code });
    if (refusal.status === INTERNAL_ERROR) {
      log.error("internal-error", { requestId, stack: describeError(error) });
    }
    if (!ctx.req.complete) {
      ctx.set("connection", "close");
    }
    ctx.status = refusal.status;
    ctx.set(refusal.headers);
    ctx.body = refusal.body;
  }
}

function createInternalRefusal(): HttpRefusal {
  return new HttpRefusal(INTERNAL_ERROR, "internal error", {
    code: "internal",
    run: "may have run",
  });
}

function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? "") : String(error);
}
