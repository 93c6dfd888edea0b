// The operator takes away the only tenant, with its key: the new configuration holds an
// empty list of tenants. Afterwards clients call with keys that no configuration holds.
import { writeFileSync } from "node:fs";
import { createServer } from "node:http";
import { buildConfig, buildEntry, HOST, KEY } from "../stand_ins_2/config.mjs";
import { startStore } from "../stand_ins_2/store.mjs";
import { call, startSystem, wait } from "../stand_ins_2/system.mjs";

const WITH_TROUBLE = process.env.TROUBLE !== "0";
const CONFIG_APPLY_MS = 2_000;
const STABLE_MS = 3_000;
const CALLS = 5;
const EVENTS = 12;
const ID = "x-gooseberryline-attempt-id";
const SEAL = "x-gooseberryline-server-seal";
const TENANT = "x-gooseberryline-tenant";
/** A key that no configuration ever holds. */
const FOREIGN_KEY = "zz0never0held0by0any";

const record = [];
const startedMs = performance.now();
const note = (what) => {
  const at = Math.round(performance.now() - startedMs);
  record.push(`${String(at).padStart(6)} ms  ${what}`);
};

/** The requests that servers have run: their tenants, by their ids. */
const runs = new Map();

async function startServer(id) {
  const server = createServer(async (req, res) => {
    const requestId = req.headers[ID];
    for await (const _ of req) {
      // The body says nothing.
    }
    const head = { [ID]: requestId, [SEAL]: `seal-${requestId}` };
    if (req.headers["x-gooseberryline-expect-instance"] !== id) {
      res.writeHead(421, { ...head, "x-gooseberryline-not-executed": "1" });
      res.end();
      return;
    }
    runs.set(requestId, req.headers[TENANT] ?? "none");
    res.writeHead(200, { ...head, "content-type": "text/event-stream" });
    for (let event = 1; event <= EVENTS && !res.destroyed; event += 1) {
      res.write(`id: ${event}\ndata: ${requestId}-${event}\n\n`);
      await wait(5);
    }
    res.end();
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    id,
    address: `127.0.0.1:${server.address().port}`,
    close: () => {
      server.close();
      server.closeAllConnections();
    },
  };
}

async function play() {
  const store = await startStore();
  const servers = await Promise.all(["i-1", "i-2"].map(startServer));
  store.write("op/config", buildConfig(10));
  for (const { id, address } of servers) {
    store.write(`servers/${id}`, buildEntry({ address }));
  }
  const system = await startSystem({ edges: 2, workers: 1, store });
  let sent = 0;
  /** Sends some requests with a key, or without; counts the answers and the runs. */
  const send = async (what, key) => {
    const statuses = [];
    const tenants = [];
    for (let index = 0; index < CALLS; index += 1) {
      sent += 1;
      const requestId = `9c41d07be2a3${String(sent).padStart(4, "0")}`;
      const edge = system.gateways[index % system.gateways.length];
      const reply = await call({
        ...system.caller(edge),
        method: "POST",
        path: `/${index % 2 === 0 ? "long" : "short"}/2f`,
        headers: {
          host: HOST,
          [ID]: requestId,
          "x-gooseberryline-deadline-ms": "4000",
          "x-gooseberryline-model": "m",
          "x-gooseberryline-token-count": "350,28",
          "x-gooseberryline-prompt-prefix": `9c2e41:100,${requestId}:250`,
          ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
        },
        body: "how much hide glue is there?",
      });
      statuses.push(reply.status);
      if (runs.has(requestId)) {
        tenants.push(runs.get(requestId));
      }
    }
    note(
      `${what}: answered ${statuses.join(" ")}; run by servers: ` +
        `${tenants.length} of ${CALLS}` +
        (tenants.length === 0 ? "" : `, tenant ${tenants.join(" ")}`),
    );
    return { statuses, ran: tenants.length };
  };
  try {
    await wait(STABLE_MS);
    const before = await send("key of the tenant", KEY);
    const foreignBefore = await send("key that none holds", FOREIGN_KEY);
    if (before.ran !== CALLS || foreignBefore.ran !== 0) {
      note("not as it should be before the change");
      return 2;
    }
    if (WITH_TROUBLE) {
      const [status] = store.write(
        "op/config",
        buildConfig(23, { tenants: [] }),
      );
      note(`version 23, without the tenant, is acknowledged: ${status}`);
    }
    await wait(CONFIG_APPLY_MS + STABLE_MS);
    const foreign = await send("key that none ever held", FOREIGN_KEY);
    const dropped = await send(
      WITH_TROUBLE ? "key that was taken away" : "key of the tenant",
      KEY,
    );
    const keyless = await send("no key", undefined);
    if (foreign.ran > 0) {
      note(
        `BROKEN: ${foreign.ran} requests ran whose key no configuration ever ` +
          `held (and ${WITH_TROUBLE ? dropped.ran : 0} with the key that was ` +
          `taken away, ${keyless.ran} without any)`,
      );
      return 1;
    }
    return keyless.ran > 0 ? 1 : 0;
  } finally {
    await system.close();
    for (const server of servers) {
      server.close();
    }
    store.close();
  }
}

const code = await play().catch((error) => {
  note(`could not run: ${error.stack}`);
  return 2;
});
note(`exit ${code}`);
const path = new URL("record.txt", import.meta.url);
writeFileSync(path, `${record.join("\n")}\n`);
process.exit(code);
