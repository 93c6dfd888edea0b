import { expect, test } from "vitest";
import { chooseUpstream } from "../requests/choose_upstream.ts";
import { createEntry } from "../testing/create_entry.ts";
import { createView } from "../testing/create_view.ts";
import { JOB_ROUTE } from "../testing/job_route.ts";
import { answerQuestion } from "./answer_question.ts";

const SERVICE = "s";
const ROUTE = { ...JOB_ROUTE, targets: [{ service: SERVICE, weight: 1 }] };
const LIMITS = {
  headerBytes: 1_000,
  bodyBytes: 1_000,
  headerTimeoutMs: 1_000,
  idleTimeoutMs: 1_000,
};
const WHERE = { host: ROUTE.host, path: `${ROUTE.prefix}1` };
const UPSTREAMS = ["a", "b", "c"].map((dataCentre) =>
  createEntry({ id: `u${dataCentre}`, dataCentre, service: SERVICE }),
);

/** Creates an instance in `a`, with requests in flight at each upstream. */
function createInstance(online: readonly number[]) {
  const view = createView("serve", { crossingMsPerKb: 1 });
  const access = { kind: "open" } as const;
  const rest = { services: [], access, limits: LIMITS };
  view.adoptConfig({ revision: 1, routes: [ROUTE], ...rest });
  UPSTREAMS.forEach((entry, n) => {
    view.directory.set(entry);
    Array.from({ length: online[n] ?? 0 }).forEach(() => {
      view.recordSend(entry, "online");
    });
  });
  return view;
}

function queryView(
  view: ReturnType<typeof createView>,
  fields: Readonly<Record<string, string>>,
) {
  const { status, text } = answerQuestion(view, new URLSearchParams(fields));
  return { status, answer: JSON.parse(text) };
}

test("the answer is what a request would do, for any load", () => {
  const loads = [0, 1, 2, 3, 4, 5, 6, 7, 8].flatMap((a) =>
    [0, 4, 8, 30].map((b) => [a, b, 2 * a]),
  );
  loads.forEach((online) => {
    const view = createInstance(online);
    const { answer } = queryView(view, { ...WHERE, prompt: "p" });
    const placement = chooseUpstream(
      view,
      {
        service: SERVICE,
        path: WHERE.path,
        receivedMs: view.readNowMs(),
        head: { affinityKey: "p", requestId: undefined },
        route: ROUTE,
      },
      { tried: new Set(), leftMs: ROUTE.timeoutMs, origin: undefined },
    );
    const chosen =
      placement.kind === "placed" ? placement.upstream.id : undefined;
    expect(answer.outcome.upstream).toBe(chosen);
  });
});

test("a question changes nothing", () => {
  const view = createInstance([22, 0, 0]);
  const changes: string[] = [];
  view.leaving.onChange = () => changes.push("leaving");
  view.onUpstreamOverloaded = () => changes.push("overloaded");
  const before = JSON.stringify(view.load.listOwnInFlight());
  queryView(view, WHERE);
  queryView(view, { ...WHERE, kind: "item" });
  expect(JSON.stringify(view.load.listOwnInFlight())).toBe(before);
  expect(view.leaving.isMeantFor(SERVICE, "b")).toBe(false);
  expect(changes).toEqual([]);
});

test("a refusal tells when to come back", () => {
  const { answer } = queryView(createInstance([40, 40, 40]), WHERE);
  expect(answer.outcome).toMatchObject({ status: 503, code: "no_room" });
  const [earliest, latest] = answer.outcome.retryAfterMs;
  expect(earliest).toBeGreaterThan(0);
  expect(latest).toBeGreaterThanOrEqual(earliest);
  const nowhere = queryView(createInstance([]), { host: "other", path: "/" });
  expect(nowhere.answer.outcome).toMatchObject({ status: 404 });
  const unready = queryView(createView(), WHERE);
  expect(unready.answer.outcome).toMatchObject({ code: "unready" });
});

test("candidates come with their load and what rules them out", () => {
  const view = createInstance([3, 1, 0]);
  view.directory.set(createEntry({ id: "ua", service: SERVICE, slots: 4 }));
  view.load.recordFailure("ub", view.readNowMs());
  const { answer } = queryView(view, WHERE);
  expect(answer.candidates).toMatchObject([
    { upstream: "ua", online: 3, slots: 4, slowness: 1 },
    { upstream: "ub", online: 1, ruledOut: "suspect" },
    { upstream: "uc", online: 0, waitMs: 0 },
  ]);
  expect(answer.outcome.upstream).not.toBe("ub");
});

test.each([
  [{ path: "/p" }, "host is missing"],
  [{ host: "h", path: "p" }, "path has to begin with a slash"],
  [{ host: "h", path: "/p", kind: "job" }, "kind is one of request, item"],
  [{ host: "h", path: "/p", deadline: "-1" }, "deadline is a whole number"],
  [{ host: "h", path: "/p", hots: "x" }, 'unknown field "hots"'],
] as const)("bad input gets a clear error: %j", (fields, reason) => {
  const { status, answer } = queryView(createInstance([]), fields);
  expect(status).toBe(400);
  expect(answer.error).toContain(reason);
});
