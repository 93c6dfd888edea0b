import { CALL_SHAPES, type Route } from "@gooseberryline/core";
import type { ByteBudget } from "../intake/byte_budget.ts";
import { createEntry } from "./create_entry.ts";
import { createView } from "./create_view.ts";
import { JOB_ROUTE } from "./job_route.ts";
import { SERVING } from "./serving.ts";
import { startListener } from "./start_listener.ts";
import { startUpstream } from "./start_upstream.ts";

const EVENT = "id: 1\ndata: a\n\n";
const SERVICE = "s";

function buildRoute(path: string, fields: Partial<Route> = {}): Route {
  return {
    ...JOB_ROUTE,
    name: path,
    prefix: path,
    shape: CALL_SHAPES.plain,
    isIdempotent: false,
    isPublic: true,
    targets: [{ service: SERVICE, weight: 1 }],
    timeoutMs: 5_000,
    ...fields,
  };
}

const ROUTES = [
  buildRoute("/stream/", { shape: CALL_SHAPES.stream }),
  buildRoute("/slow/"),
  buildRoute("/short/", { timeoutMs: 300 }),
  buildRoute("/quick/"),
  buildRoute("/large/"),
];

/**
 * Starts a callers' listener and its upstream, with routes for a stream, for a slow,
 * a short and a large answer.
 */
export async function startServing(idleTimeoutMs = 5_000, budget?: ByteBudget) {
  const upstream = await startUpstream((req, res) => {
    if (req.url?.startsWith("/stream/") === true) {
      res.writeHead(200, { "content-type": "text/event-stream" });
      res.write(EVENT);
      setTimeout(() => res.end(), SERVING.STREAM_MS);
    } else {
      const tookMs =
        req.url?.startsWith("/slow/") === true ? SERVING.SLOW_MS : 0;
      const isLarge = req.url?.startsWith("/large/") === true;
      const text = isLarge ? Buffer.alloc(SERVING.LARGE_BYTES, "x") : "text";
      setTimeout(() => res.writeHead(200).end(text), tookMs);
    }
  });
  const view = createView();
  const limits = {
    headerBytes: 10_000,
    bodyBytes: 10_000,
    headerTimeoutMs: 1_000,
    idleTimeoutMs,
  };
  view.adoptConfig({
    revision: 1,
    routes: ROUTES,
    services: [],
    access: { kind: "open" },
    limits,
  });
  const { address } = upstream;
  view.directory.set(createEntry({ service: SERVICE, address }));
  const started = await startListener(view, undefined, { budget });
  const { listener, port } = started;
  listener.applyLimits();
  /** Begins a stop whose notice is over, with this much time left. */
  const beginLateStop = (leftMs: number): void => {
    const nowMs = view.readNowMs();
    listener.startDraining({ noticeEndMs: nowMs, endMs: nowMs + leftMs });
  };
  const close = async (): Promise<void> => {
    listener.stop();
    await upstream.close();
  };
  return { view, listener, upstream, port, beginLateStop, close };
}
