import type Router from "@koa/router";
import type { Context } from "koa";
import { AdminRefusal } from "./admin_refusal.ts";
import { changeConfig } from "./change_config.ts";
import { ConfigStore } from "./config_store.ts";
import type { AdminParts, OperatorRole } from "./types.ts";

const STATE_BY_ACTION = { "take-out": "out", "bring-back": "in" } as const;
const ACTIONS = ["take-out", "bring-back"] as const;
type Action = (typeof ACTIONS)[number];

/** Adds the routes to evacuate a data centre and to bring it back. */
export function addDataCentreRoutes(
  router: Router,
  { platform, log }: AdminParts,
  requireRole: (ctx: Context, role: OperatorRole) => string,
): void {
  const store = new ConfigStore(platform);
  ACTIONS.forEach((action) => {
    router.post(`/admin/v1/data-centres/:id/${action}`, (ctx) =>
      changeState(ctx, action),
    );
  });

  async function changeState(ctx: Context, action: Action): Promise<void> {
    const operator = requireRole(ctx, "operator");
    const id = String(ctx.params.id);
    const state = STATE_BY_ACTION[action];
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
    log.info(`data-centre-${action}`, { operator, dataCentre: id, revision });
    ctx.body = { id, state, revision };
  }
}
