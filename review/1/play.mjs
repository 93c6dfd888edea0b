/**
 * The only server of a small service is lost for good. Batch jobs for another service,
 * whose servers are sound and free, have to be done all the same.
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

const SOUND = {
  service: "pega",
  prefix: "/tender/",
  zones: ["uio-n", "uio-s"],
  events: 150,
};
/** A small service: one server, whose items are short. */
const LOST = {
  service: "tarn",
  prefix: "/minutes/",
  zones: ["uio-n"],
  events: 40,
};
const SLOTS = 8;
const EVENT_MS = 25;
/** A batch job about every 2 s, for each of both routes. */
const JOBS = 10;
const JOB_GAP_MS = 2_000;
const ITEMS = 10;
/** The traffic ends some time after its last batch job. */
const LAST_TRAFFIC_MS = 8_000;
const FINISH_MS = 18_000;
const CALM_MS = 5_000;
const QUIET_MS = 3_000;

function buildRoute({ service, prefix }) {
  return {
    name: `batch-${service}`,
    prefix,
    service,
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
  const servers = [SOUND, LOST].flatMap(({ service, zones, events }) =>
    zones.map(
      (zone) =>
        new ModelServer({
          id: `i-${service}-${zone}`,
          service,
          zone,
          slots: SLOTS,
          events,
          eventMs: EVENT_MS,
          store: system.store,
          record,
        }),
    ),
  );
  const [sound, lost] = [servers.slice(0, 2), servers.slice(2)];
  system.writeConfig(
    buildConfig({
      version: 1,
      routes: [buildRoute(SOUND), buildRoute(LOST)],
      services: [SOUND.service, LOST.service],
    }),
  );
  for (const server of servers) {
    await server.start();
  }
  try {
    await system.start({ gateways: 2, workers: 2 });
    await wait(2_000);
    const jobs = [];
    const submit = async ({ prefix }, turn) => {
      const addresses =
        turn % 2 === 0 ? system.addresses : system.addresses.toReversed();
      const common = { addresses, host: HOST, key: KEY, prefix };
      const job = await submitJob({ ...common, count: ITEMS });
      record({ what: "job", ...job, prefix });
      return job;
    };
    for (let turn = 0; turn < JOBS; turn += 1) {
      await submit(LOST, turn);
      await wait(JOB_GAP_MS / 2);
      if (turn === 0 && isTroubled) {
        lost.forEach((server) => {
          server.crash();
        });
      }
      jobs.push(await submit(SOUND, turn));
      await wait(JOB_GAP_MS / 2);
    }
    await wait(LAST_TRAFFIC_MS + FINISH_MS);
    return await check(parts, jobs, sound);
  } finally {
    servers.forEach((server) => {
      server.stop();
    });
  }
});

/** LOST: items that are not listed once `finish-s` is over, with its excuses. */
async function check({ system, recorder }, jobs, sound) {
  const { nowMs, entries } = recorder;
  const isFull = sound.some((server) => server.isFull);
  const finishedLately = entries.some(
    ({ what, atMs }) => what === "answered" && atMs > nowMs - QUIET_MS,
  );
  const hadLately = new Set(
    entries
      .filter(({ what }) => what === "run" || what === "answered")
      .filter(({ atMs }) => atMs > nowMs - CALM_MS)
      .map(({ attempt }) => attempt),
  );
  recorder.add({ what: "check", isFull, finishedLately });
  const broken = [];
  for (const job of jobs.filter(({ isAccepted }) => isAccepted)) {
    const [address] = system.addresses;
    const read = await readResults({
      address,
      host: HOST,
      key: KEY,
      id: job.id,
    });
    const listed = new Set(read.results.map(({ id }) => id));
    const missing = job.ids.filter((id) => !listed.has(id));
    const neverRun = missing.filter(
      (id) => !entries.some((entry) => entry.attempt === id),
    );
    recorder.add({
      what: "results",
      job: job.id,
      status: read.status,
      listed: listed.size,
      missing: missing.length,
      neverRun: neverRun.length,
    });
    const isExcused =
      isFull || finishedLately || missing.some((id) => hadLately.has(id));
    if (missing.length > 0 && !isExcused) {
      broken.push(
        `LOST: ${missing.length} of ${job.ids.length} items of batch job ${job.id} are not listed, ${neverRun.length} of them were never run`,
      );
    }
  }
  return broken;
}
