import type Router from "@koa/router";
import type { Context } from "koa";
import { AdminRefusal } from "./admin_refusal.ts";
import { changeConfig } from "./change_config.ts";
import { ConfigStore } from "./config_store.ts";
import type { AdminParts, OperatorRole } from "./types.ts";

const STATE_OF_ORDER = { "take-out": "out", "bring-back": "in" } as const;
const ORDERS = ["take-out", "bring-back"] as const;
type Order = (typeof ORDERS)[number];

/** Adds the routes that take a data centre out and bring it back. */
export function addDataCentreRoutes(
  router: Router,
  { platform, log }: AdminParts,
  requireRole: (ctx: Context, role: OperatorRole) => string,
): void {
  const store = new ConfigStore(platform);
  ORDERS.forEach((order) => {
    router.post(`/admin/v1/data-centres/:id/${order}`, (ctx) =>
      changeState(ctx, order),
    );
  });

  async function changeState(ctx: Context, order: Order): Promise<void> {
    const operator = requireRole(ctx, "operator");
    const id = String(ctx.params.id);
    const state = STATE_OF_ORDER[order];
    const revision = await changeConfig(store, (document) => {
      if (document.dataCentres[id] === undefined) {
        throw new AdminRefusal(
          404,
          "data_centre_not_found",
          `no data centre "${id}"`,
        );
      }
      return {
        ...document,
        dataCentres: { ...document.dataCentres, [id]: { state } },
      };
    });
    log.info(`data-centre-${order}`, { operator, dataCentre: id, revision });
    ctx.body = { id, state, revision };
  }
}
