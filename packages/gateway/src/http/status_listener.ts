import { createServer, type Server } from "node:http";
import Koa from "koa";
import { INTAKE_CONSTANTS } from "../intake/constants.ts";
import type { Endpoint } from "../settings/types.ts";
import { closeServer } from "./close_server.ts";
import { Connections } from "./connections.ts";
import { listenAt } from "./listen_at.ts";

const UNAVAILABLE = 503;

/**
 * A response of this listener: its status code and its text, which may be
 * empty.
 */
type Page = { readonly status: number; readonly text: string };

type BuildPage = (query: URLSearchParams) => Promise<Page> | Page;

/** Serves status pages, such as the readiness check and the metrics. */
export class StatusListener {
  readonly #server: Server;

  /**
   * Creates a listener of at most `maxConnections`; `pages` maps each path to a
   * function that returns its current page for a query.
   */
  constructor(
    maxConnections: number,
    pages: Readonly<Record<string, BuildPage>>,
  ) {
    const connections = new Connections({
      readNowMs: () => performance.now(),
      max: maxConnections,
      maxAhead: INTAKE_CONSTANTS.MAX_AHEAD_INSIDE,
    });
    const app = new Koa();
    app.use(async (ctx) => {
      const place = connections.placeCall(ctx.req);
      ctx.res.once("close", () => place.end());
      // One page at a time on a connection, or answers unread would pile up.
      await place.previous;
      const page = pages[ctx.path];
      if (page !== undefined) {
        const { status, text } = await page(ctx.URL.searchParams);
        ctx.status = status;
        ctx.body = text;
        if (status >= UNAVAILABLE) {
          ctx.set("connection", "close");
        }
      }
    });
    this.#server = createServer(
      {
        headersTimeout: INTAKE_CONSTANTS.HEAD_TIMEOUT_MS,
        requireHostHeader: false,
      },
      app.callback(),
    );
    connections.watch(this.#server);
  }

  start(endpoint: Endpoint): Promise<void> {
    return listenAt(this.#server, endpoint);
  }

  stop(): void {
    closeServer(this.#server);
  }
}
