import { Agent } from "node:http";
import { INVARIANTS } from "@gooseberryline/core";
import { got } from "got";
import { afterEach, beforeAll, expect, test } from "vitest";
import { type Fleet, startFleet } from "../support/start_fleet.ts";
import { waitUntil } from "../support/wait_until.ts";

const NOTICE_MS = 500;
const PROBE_MS = 50;
const CLIENTS = 12;

const startedFleets: Fleet[] = [];
const agent = { http: new Agent({ keepAlive: true }) };

const startTwoInstances = async () => {
  const fleet = await startFleet({
    daemonSpecs: ["one", "two"].map((instanceId) => ({
      instanceId,
      dataCentre: "a",
    })),
    engines: 2,
    engine: { firstTokenMs: 50, tokenMs: 20, tokens: 20 },
  });
  startedFleets.push(fleet);
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

/** Sends one streamed request and returns its outcome. */
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
  await Promise.all(startedFleets.splice(0).map((fleet) => fleet.stop()));
});

test("a planned stop under load interrupts no request", async () => {
  const fleet = await startTwoInstances();
  const [one, two] = ["one", "two"].map((id) => fleet.daemons.get(id));
  if (one === undefined || two === undefined) {
    throw new Error("no daemons");
  }
  const balancer = { target: one.caller, isFinished: false };
  const pollReadiness = async () => {
    while (!balancer.isFinished) {
      balancer.target = (await isReady(one.admin)) ? one.caller : two.caller;
      await new Promise((resolve) => setTimeout(resolve, PROBE_MS));
    }
  };
  const results: Awaited<ReturnType<typeof sendStream>>[] = [];
  const sendRequests = async () => {
    while (!balancer.isFinished) {
      results.push(await sendStream(balancer.target));
    }
  };
  const running = [
    pollReadiness(),
    ...Array.from({ length: CLIENTS }, sendRequests),
  ];
  await waitUntil(
    () => results.length > CLIENTS && one.readState().works.count > 0,
  );
  const stopping = one.stop(NOTICE_MS);
  await waitUntil(async () => !(await isReady(one.admin)));
  await stopping;
  const atStop = results.length;
  await waitUntil(() => results.length > atStop + CLIENTS);
  balancer.isFinished = true;
  await Promise.all(running);
  const violations = results.filter(
    (end) => !("isWhole" in end && (end.isWhole || end.isNotRun)),
  );
  expect(violations).toEqual([]);
  expect(two.readState().attemptCount).toBeGreaterThan(0);
  expect(fleet.logLines.join("")).toContain('"event":"drained"');
});

test("during a planned stop, a keep-alive connection closes after a complete answer", async () => {
  const fleet = await startTwoInstances();
  const one = fleet.daemons.get("one");
  const callerAddress = one?.caller ?? "";
  expect(await sendStream(callerAddress)).toMatchObject({
    connection: "keep-alive",
  });
  const stopping = one?.stop(NOTICE_MS);
  expect(await sendStream(callerAddress)).toMatchObject({
    isWhole: true,
    connection: "close",
  });
  await stopping;
  expect(await sendStream(callerAddress)).toHaveProperty("error");
});

test("a request after the notice period is refused as not run", async () => {
  const fleet = await startTwoInstances();
  const one = fleet.daemons.get("one");
  const callerAddress = one?.caller ?? "";
  const inFlight = sendStream(callerAddress);
  await waitUntil(() => (one?.readState().works.count ?? 0) > 0);
  const stopping = one?.stop(0);
  expect(await sendStream(callerAddress)).toMatchObject({
    statusCode: 503,
    isNotRun: true,
    connection: "close",
  });
  expect(await inFlight).toMatchObject({ isWhole: true });
  await stopping;
});
