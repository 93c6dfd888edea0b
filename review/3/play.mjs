/**
 * The connection on which a worker waits for the configuration goes silent. Then
 * a route is added, and batch jobs are submitted to it. Their items have to run.
 */
import { readResults, submitJob } from "../stand_ins/client.mjs";
import { ModelServer } from "../stand_ins/model_server.mjs";
import {
  buildConfig,
  HOST,
  KEY,
  playCase,
  wait,
} from "../stand_ins/system.mjs";

const SERVICE = "pega";
const CONFIG_PREFIX = "op/";
const JOBS = 6;
const ITEMS = 5;
const DONE_MS = 15_000;

function buildRoute(name) {
  return {
    name,
    prefix: `/${name}/`,
    service: SERVICE,
    kind: "batch",
    "due-ms": 18_000,
    "retention-s": 60,
    "max-attempts": 3,
    "timeout-ms": 15_000,
    priority: 2,
  };
}

playCase(new URL("./", import.meta.url), async (parts) => {
  const { system, recorder, isTroubled } = parts;
  const record = recorder.add;
  const servers = ["uio-n", "uio-s"].map(
    (zone) =>
      new ModelServer({
        id: `i-${zone}`,
        service: SERVICE,
        zone,
        slots: 8,
        events: 40,
        eventMs: 25,
        store: system.store,
        record,
      }),
  );
  const routes = ["tender", "minutes"].map(buildRoute);
  const write = (version, count) =>
    system.writeConfig(
      buildConfig({
        version,
        routes: routes.slice(0, count),
        services: [SERVICE],
      }),
    );
  write(1, 1);
  for (const server of servers) {
    await server.start();
  }
  try {
    await system.start({ gateways: 2, workers: 2 });
    await wait(4_000);
    if (isTroubled) {
      const [worker] = system.workers;
      const connections = system.store.listConnections(worker);
      const silenced = connections.filter(({ use }) => use === CONFIG_PREFIX);
      silenced.forEach(({ socket }) => {
        system.store.silence(socket);
      });
      const [open, silent] = [connections.length, silenced.length];
      record({ what: "connections-silent", worker, open, silent });
    }
    await wait(200);
    write(5, 2);
    await wait(50);
    const jobs = await Promise.all(
      Array.from({ length: JOBS }, async (_, turn) => {
        const addresses =
          turn % 2 === 0 ? system.addresses : system.addresses.toReversed();
        const job = await submitJob({
          addresses,
          host: HOST,
          key: KEY,
          prefix: "/minutes/",
          count: ITEMS,
        });
        record({ what: "job", ...job });
        return job;
      }),
    );
    await wait(DONE_MS);
    return await check(parts, jobs);
  } finally {
    servers.forEach((server) => {
      server.stop();
    });
  }
});

/** MIXED: errored results of items that no server answered with 422 or 500. */
async function check({ system, recorder }, jobs) {
  const broken = [];
  for (const { id } of jobs.filter(({ isAccepted }) => isAccepted)) {
    const [address] = system.addresses;
    const read = await readResults({ address, host: HOST, key: KEY, id });
    recorder.add({ what: "results", job: id, ...read });
    const errored = read.results.filter(({ state }) => state === "errored");
    const runs = recorder.entries.filter(
      ({ what, attempt }) =>
        what === "run" && errored.some((result) => result.id === attempt),
    );
    if (errored.length > 0) {
      broken.push(
        `MIXED: ${errored.length} of ${read.total} items of batch job ${id} are listed as errored after ${runs.length} runs, none of which failed`,
      );
    }
  }
  return broken;
}
