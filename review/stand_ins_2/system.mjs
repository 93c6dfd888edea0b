// Starts the programs of the deploy file as processes on loopback addresses, with
// settings as the template of the project fills them in for a small deployment.
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer, request } from "node:http";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createInterface } from "node:readline";

const ROOT = new URL("../../", import.meta.url).pathname;
const PORTS = 8;
const READY_TIMEOUT_MS = 30_000;

export const wait = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Waits until a condition holds; returns whether it came to hold in time. */
export async function waitFor(condition, timeoutMs, pollMs = 20) {
  const endMs = performance.now() + timeoutMs;
  while (!(await condition())) {
    if (performance.now() > endMs) {
      return false;
    }
    await wait(pollMs);
  }
  return true;
}

function readRunLine(role) {
  const lines = readFileSync(join(ROOT, "deploy/system.toml"), "utf8");
  const section = lines.split(`[roles.${role}]`)[1].split("[roles.")[0];
  return /^run = "(.*)"$/m.exec(section)[1].split(" ");
}

/** Finds a port whose successors are free as well, on any loopback address. */
async function findBasePort() {
  const server = createServer();
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  const { port } = server.address();
  await new Promise((resolve) => server.close(resolve));
  return port + 2 * PORTS < 65_535 ? port : findBasePort();
}

export async function startSystem({
  edges,
  workers,
  store,
  zones = ["a"],
  edgeMemoryMb = 350,
}) {
  const folder = mkdtempSync(join(tmpdir(), "review-"));
  const basePort = await findBasePort();
  const machines = [
    ...Array.from({ length: edges }, (_, i) => ["gateway", `edge-${i + 1}`]),
    ...Array.from({ length: workers }, (_, i) => ["worker", `store-${i + 1}`]),
  ].map(([role, name], index) => ({
    role,
    name,
    zone: zones[index % zones.length],
    host: `127.0.1.${index + 1}`,
    child: undefined,
    starts: 0,
    ends: [],
    log: [],
  }));

  const buildSettings = ({ role, name, zone, host, starts }) => ({
    instanceId: name,
    dataCentre: zone,
    serves: [role === "gateway" ? "edge" : "store"],
    host,
    internalPorts: [basePort, basePort + PORTS - 1],
    ...(role === "gateway"
      ? {
          callers: `${host}:${basePort + PORTS}`,
          readiness: `${host}:${basePort + PORTS + 1}`,
        }
      : {}),
    graceSeconds: 8,
    memoryMb: role === "gateway" ? edgeMemoryMb : 380,
    maxFds: role === "gateway" ? 4200 : 8200,
    isFirstStart: starts === 0,
    quotaSlack: 20,
    rampOver: 1.5,
    rampSlack: 5,
    store: store.address,
  });
  const start = (machine) => {
    const path = join(folder, `${machine.name}.jsonc`);
    writeFileSync(path, JSON.stringify(buildSettings(machine)));
    const [program, ...words] = readRunLine(machine.role);
    const { PATH, HOME, LANG } = process.env;
    const child = spawn(program, words, {
      cwd: ROOT,
      env: { PATH, HOME, LANG, GOOSEBERRYLINE_NODE_FILE: path },
      stdio: ["ignore", "pipe", "pipe"],
    });
    machine.starts += 1;
    machine.child = child;
    [child.stdout, child.stderr].forEach((input) => {
      createInterface({ input }).on("line", (line) => machine.log.push(line));
    });
    child.once("exit", (code, signal) => {
      machine.ends.push(String(signal ?? code));
      if (machine.child === child) {
        machine.child = undefined;
      }
    });
  };
  const end = async (machine, signal = "SIGKILL") => {
    const { child } = machine;
    if (child === undefined) {
      return;
    }
    const ended = new Promise((resolve) => child.once("exit", resolve));
    child.kill(signal);
    const timer = setTimeout(() => child.kill("SIGKILL"), 8_000);
    await ended;
    clearTimeout(timer);
  };
  const isReady = async ({ host }) => {
    const reply = await call({
      host,
      port: basePort + PORTS + 1,
      path: "/gooseberryline/ready",
      timeoutMs: 900,
    });
    return reply.status === 200;
  };
  machines.forEach(start);
  const gateways = machines.filter(({ role }) => role === "gateway");
  const areReady = async () =>
    (await Promise.all(gateways.map(isReady))).every(Boolean) &&
    machines.every(({ log }) => log.some((line) => line.includes('"ready"')));
  const close = async () => {
    for (const { child } of machines) {
      child?.kill("SIGCONT");
    }
    await Promise.all(machines.map((machine) => end(machine)));
    rmSync(folder, { recursive: true, force: true });
  };
  if (!(await waitFor(areReady, READY_TIMEOUT_MS, 100))) {
    await close();
    throw new Error("the system does not become ready");
  }
  return {
    machines,
    gateways,
    workers: machines.filter(({ role }) => role === "worker"),
    /** Address for callers of a gateway. */
    caller: ({ host }) => ({ host, port: basePort + PORTS }),
    start,
    end,
    isReady,
    close,
  };
}

/** Sends one request on a connection of its own; never rejects. */
export function call({
  host,
  port,
  method = "GET",
  path,
  headers = {},
  body,
  timeoutMs = 4_000,
  onData,
}) {
  return new Promise((resolve) => {
    const chunks = [];
    const reply = { status: 0, headers: {}, text: "", isWhole: false };
    const finish = (fields) => {
      clearTimeout(timer);
      resolve({ ...reply, text: Buffer.concat(chunks).toString(), ...fields });
    };
    const req = request({ host, port, method, path, headers, agent: false });
    const timer = setTimeout(() => {
      finish({ error: "deadline" });
      req.destroy();
    }, timeoutMs);
    req.on("response", (res) => {
      reply.status = res.statusCode;
      reply.headers = res.headers;
      res.on("data", (chunk) => {
        chunks.push(chunk);
        onData?.(chunk);
      });
      res.on("end", () => finish({ isWhole: res.complete }));
      res.on("error", (error) => finish({ error: error.message }));
    });
    req.on("error", (error) => finish({ error: error.message }));
    req.end(body);
  });
}
