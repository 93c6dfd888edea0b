import { Agent } from "node:http";
import { INVARIANTS } from "@gooseberryline/core";
import { got } from "got";
import { afterEach, beforeAll, expect, test } from "vitest";
import { type Fleet, startFleet } from "../support/start_fleet.ts";
import { waitUntil } from "../support/wait_until.ts";

const NOTICE_MS = 500;
const PROBE_MS = 50;
const CLIENTS = 12;

const started: Fleet[] = [];
const agent = { http: new Agent({ keepAlive: true }) };

const startPair = async () => {
  const fleet = await startFleet({
    places: ["one", "two"].map((instanceId) => ({
      instanceId,
      dataCentre: "a",
    })),
    engines: 2,
    engine: { firstTokenMs: 50, tokenMs: 20, tokens: 20 },
  });
  started.push(fleet);
  await waitUntil(() =>
    [...fleet.daemons.values()].every(
      (daemon) => daemon.readState().config !== undefined,
    ),
  );
  return fleet;
};

const isReady = (address: string) =>
  got(`http://${address}/readyz`, {
    throwHttpErrors: false,
    retry: { limit: 0 },
  }).then(
    ({ statusCode }) => statusCode === 200,
    () => false,
  );

/** Sends one streamed request and says how it ended. */
const sendStream = (address: string) =>
  got
    .post(`http://${address}/v1/chat/completions`, {
      json: { model: "demo-model", messages: [], stream: true },
      headers: { authorization: "Bearer demo-key" },
      retry: { limit: 0 },
      throwHttpErrors: false,
      agent,
    })
    .then(
      ({ statusCode, body, headers }) => ({
        statusCode,
        isWhole: body.includes("data: [DONE]"),
        isNotRun: body.includes('"run":"not run"'),
        connection: headers.connection,
      }),
      (error: Error) => ({ statusCode: 0, error: error.message }),
    );

beforeAll(() => {
  INVARIANTS.shouldThrow = true;
});

afterEach(async () => {
  await Promise.all(started.splice(0).map((fleet) => fleet.stop()));
});

test("a planned stop under load cuts off no request", async () => {
  const fleet = await startPair();
  const [one, two] = ["one", "two"].map((id) => fleet.daemons.get(id));
  if (one === undefined || two === undefined) {
    throw new Error("no daemons");
  }
  const balancer = { target: one.caller, isOver: false };
  const probe = async () => {
    while (!balancer.isOver) {
      balancer.target = (await isReady(one.admin)) ? one.caller : two.caller;
      await new Promise((resolve) => setTimeout(resolve, PROBE_MS));
    }
  };
  const ends: Awaited<ReturnType<typeof sendStream>>[] = [];
  const load = async () => {
    while (!balancer.isOver) {
      ends.push(await sendStream(balancer.target));
    }
  };
  const running = [probe(), ...Array.from({ length: CLIENTS }, load)];
  await waitUntil(
    () => ends.length > CLIENTS && one.readState().works.count > 0,
  );
  const stopped = one.stop(NOTICE_MS);
  await waitUntil(async () => !(await isReady(one.admin)));
  await stopped;
  const atStop = ends.length;
  await waitUntil(() => ends.length > atStop + CLIENTS);
  balancer.isOver = true;
  await Promise.all(running);
  const kinds = ends.filter(
    (end) => !("isWhole" in end && (end.isWhole || end.isNotRun)),
  );
  expect(kinds).toEqual([]);
  expect(two.readState().attemptCount).toBeGreaterThan(0);
  expect(fleet.logLines.join("")).toContain('"event":"drained"');
});

test("a kept connection is ended by the answer, at first whole", async () => {
  const fleet = await startPair();
  const one = fleet.daemons.get("one");
  const caller = one?.caller ?? "";
  expect(await sendStream(caller)).toMatchObject({ connection: "keep-alive" });
  const stopped = one?.stop(NOTICE_MS);
  expect(await sendStream(caller)).toMatchObject({
    isWhole: true,
    connection: "close",
  });
  await stopped;
  expect(await sendStream(caller)).toHaveProperty("error");
});

test("a request after the notice is refused, not run", async () => {
  const fleet = await startPair();
  const one = fleet.daemons.get("one");
  const caller = one?.caller ?? "";
  const open = sendStream(caller);
  await waitUntil(() => (one?.readState().works.count ?? 0) > 0);
  const stopped = one?.stop(0);
  expect(await sendStream(caller)).toMatchObject({
    statusCode: 503,
    isNotRun: true,
    connection: "close",
  });
  expect(await open).toMatchObject({ isWhole: true });
  await stopped;
});
