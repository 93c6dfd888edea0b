import { CALL_SHAPES } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { runRequest } from "../testing/run_request.ts";
import { startUpstream } from "../testing/start_upstream.ts";

const PLAIN = { shape: CALL_SHAPES.plain, isResumable: false } as const;
const OTHER_INCARNATION = "2";

/** Starts an upstream whose answers say that it is leaving, and another one. */
async function startTwo(status: number, headers: Record<string, string>) {
  const leaving = await startUpstream((_, res) => {
    res.writeHead(status, { leaving: "1", ...headers }).end("first");
  });
  const other = await startUpstream((_, res) => {
    res.writeHead(200).end("other");
  });
  const addresses = [leaving.address, other.address];
  const close = () => Promise.all([leaving.close(), other.close()]);
  return { leaving, addresses, close };
}

const ANSWERS = [
  ["a success", 200, {}],
  ["a refusal", 503, { "not-run": "1" }],
  ["an error", 500, {}],
] as const;

test.each(ANSWERS)(
  "an upstream that says it is leaving in %s gets no further request",
  async (_, status, headers) => {
    const { leaving, addresses, close } = await startTwo(status, headers);
    const view = createView();
    await runRequest({ addresses, view, route: PLAIN }).ended;
    const [first, ...others] = view.directory.listLeaving() ?? [];
    expect(first?.id).toBe("u0");
    expect(others).toEqual([]);
    const second = runRequest({ addresses, view, route: PLAIN });
    expect(await second.ended).toBe("answered");
    expect(second.answer.body).toBe("other");
    expect(leaving.seen).toHaveLength(1);
    await close();
  },
);

test("peers learn at once which upstreams are leaving", async () => {
  const { addresses, close } = await startTwo(200, {});
  const view = createView();
  const peer = createView();
  await runRequest({ addresses, view, route: PLAIN }).ended;
  view.directory.list("service", 0).forEach((entry) => {
    peer.directory.set(entry);
  });
  peer.directory.set({
    id: "u0",
    service: "service",
    address: addresses[0] ?? "",
    dataCentre: "a",
    slots: 8,
    isDraining: false,
    coldUntilMs: 0,
  });
  const told: string[] = [];
  peer.directory.onLeaving = (id) => told.push(id);
  const message = view.buildMessage(false);
  peer.handleMessage(
    { ...message, from: "i2", incarnation: OTHER_INCARNATION },
    true,
  );
  expect(told).toEqual(["u0"]);
  expect(peer.directory.list("service", 0).map(({ id }) => id)).toEqual(["u1"]);
  await close();
});
