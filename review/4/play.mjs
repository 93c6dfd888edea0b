/**
 * The connection on which a worker waits for changes of the jobs' claims goes
 * silent. Then a client ends a batch job of this worker. Its items must not reach
 * servers any more once `cancel-ms` is over.
 */
import { call, submitJob } from "../stand_ins/client.mjs";
import { ModelServer } from "../stand_ins/model_server.mjs";
import {
  buildConfig,
  HOST,
  KEY,
  playCase,
  wait,
} from "../stand_ins/system.mjs";

const SERVICE = "pega";
const PREFIX = "/tender/";
const CLAIMS_PREFIX = "jobs/claim/";
/** Store machines, and bounds, of penwhistle-post-grown. */
const WORKERS = 12;
const STABLE_MS = 4_000;
const CANCEL_MS = 3_000;
const JOBS = 6;
const ITEMS = 10;
const OBSERVED_MS = 9_000;

playCase(new URL("./", import.meta.url), async (parts) => {
  const { system, recorder, isTroubled } = parts;
  const record = recorder.add;
  const servers = ["uio-n", "uio-s", "ltg", "amb"].map(
    (zone) =>
      new ModelServer({
        id: `i-${zone}`,
        service: SERVICE,
        zone,
        slots: 8,
        events: 60,
        eventMs: 25,
        store: system.store,
        record,
      }),
  );
  system.writeConfig(
    buildConfig({
      version: 1,
      services: [SERVICE],
      routes: [
        {
          name: "tender",
          prefix: PREFIX,
          service: SERVICE,
          kind: "batch",
          "due-ms": 18_000,
          "retention-s": 60,
          "max-attempts": 3,
          "timeout-ms": 15_000,
          priority: 2,
        },
      ],
    }),
  );
  for (const server of servers) {
    await server.start();
  }
  try {
    const zones = ["uio-n", "uio-s", "ltg", "amb"];
    await system.start({ gateways: 2, workers: WORKERS, zones });
    await wait(4_000);
    const { addresses } = system;
    const submit = { addresses, host: HOST, key: KEY, prefix: PREFIX };
    const jobs = await Promise.all(
      Array.from({ length: JOBS }, () =>
        submitJob({ ...submit, count: ITEMS }),
      ),
    );
    await wait(700);
    const [{ job, owner, connection, leftMs }] = jobs
      .filter(({ isAccepted }) => isAccepted)
      .map((accepted) => findOwner(system.store, accepted))
      .sort((a, b) => b.leftMs - a.leftMs);
    record({ what: "job", ...job, owner, leftMs: Math.round(leftMs) });
    const silentMs = recorder.nowMs;
    if (isTroubled) {
      const open = system.store.listConnections(owner).length;
      system.store.silence(connection);
      record({ what: "connections-silent", worker: owner, open, silent: 1 });
    }
    await wait(100);
    const ended = await call({
      address: addresses[0],
      method: "DELETE",
      path: `/gooseberryline/lots/${job.id}`,
      host: HOST,
      key: KEY,
    });
    const endedMs = recorder.nowMs;
    record({ what: "end", job: job.id, status: ended.status });
    if (ended.status !== 200) {
      throw new Error(`the end was answered ${ended.status}`);
    }
    await wait(OBSERVED_MS);
    const fromMs = Math.max(silentMs + STABLE_MS, endedMs + CANCEL_MS);
    const late = recorder.entries.filter(
      ({ what, attempt, atMs }) =>
        what === "run" && job.ids.includes(attempt) && atMs > fromMs,
    );
    const lastMs = late.at(-1)?.atMs ?? 0;
    return late.length === 0
      ? []
      : [
          `UNASKED: ${late.length} runs of items of batch job ${job.id} reached servers later than ${CANCEL_MS} ms after the acknowledgement of its end, from a machine that had been in touch for ${STABLE_MS} ms, the last after ${lastMs - endedMs} ms`,
        ];
  } finally {
    servers.forEach((server) => {
      server.stop();
    });
  }
});

/** Finds a job's worker, and how long the watch of the claims still waits there. */
function findOwner(store, job) {
  const item = store.read(`${CLAIMS_PREFIX}${job.id}`);
  const { owner } = JSON.parse(Buffer.from(item.value, "base64").toString());
  const { socket, endMs } = store
    .listConnections(owner)
    .find(({ use }) => use === CLAIMS_PREFIX);
  const leftMs = endMs - performance.now();
  return { job, owner, connection: socket, leftMs };
}
