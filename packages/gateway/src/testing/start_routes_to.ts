import { CALL_SHAPES, type Route } from "@gooseberryline/core";
import { createEntry } from "./create_entry.ts";
import { createView } from "./create_view.ts";
import { JOB_ROUTE } from "./job_route.ts";
import { startListener } from "./start_listener.ts";

const SERVICE = "s";
const LIMITS = {
  headerBytes: 10_000,
  bodyBytes: 4_000_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 5_000,
} as const;

/**
 * Starts a callers' listener whose routes `/plain/`, `/safe/` and `/stream/` lead to
 * one upstream. Only requests of `/safe/` may be repeated.
 */
export async function startRoutesTo(
  address: string,
  fields: Partial<Route> = {},
) {
  const route = {
    ...JOB_ROUTE,
    isIdempotent: false,
    isPublic: true,
    targets: [{ service: SERVICE, weight: 1 }],
    shape: CALL_SHAPES.plain,
    ...fields,
  };
  const view = createView();
  view.adoptConfig({
    revision: 1,
    routes: [
      { ...route, name: "plain", prefix: "/plain/" },
      { ...route, name: "safe", prefix: "/safe/", isIdempotent: true },
      {
        ...route,
        name: "stream",
        prefix: "/stream/",
        shape: CALL_SHAPES.stream,
      },
    ],
    services: [],
    access: { kind: "open" },
    limits: LIMITS,
  });
  view.directory.set(createEntry({ service: SERVICE, address }));
  return startListener(view);
}
