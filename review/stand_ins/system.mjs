/** Starts the project's programs by the deploy file, on loopback addresses. */
import { spawn } from "node:child_process";
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from "node:fs";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { call } from "./client.mjs";
import { PlatformStore } from "./platform_store.mjs";

const ROOT = new URL("../../", import.meta.url);
const PORT_RANGE = 16;

export const HOST = "nony24.example";
export const KEY = "i9n73hh2b9wu3fexd9dn";

export function wait(ms) {
  return new Promise((resolve) => {
    setTimeout(resolve, ms);
  });
}

/** Reads the `run` line of a role from the deploy file. */
function readCommand(role) {
  const text = readFileSync(new URL("deploy/system.toml", ROOT), "utf8");
  const section = text.split(`[roles.${role}]`)[1];
  return /run = "([^"]+)"/.exec(section)[1].split(" ");
}

/** Finds a range of ports that are free at an address. */
async function findPorts() {
  const first = await new Promise((resolve) => {
    const server = createServer().listen(0, "127.0.0.1", () => {
      const { port } = server.address();
      server.close(() => resolve(port));
    });
  });
  return first + PORT_RANGE < 65_535 ? first : findPorts();
}

/** Records what happens, with the time since the start. */
export class Recorder {
  #startMs = performance.now();
  entries = [];

  add = (entry) => {
    const atMs = Math.round(performance.now() - this.#startMs);
    this.entries.push({ atMs, ...entry });
  };

  get nowMs() {
    return Math.round(performance.now() - this.#startMs);
  }

  write(folder) {
    const lines = this.entries.map((entry) => JSON.stringify(entry));
    writeFileSync(new URL("record.txt", folder), `${lines.join("\n")}\n`);
  }
}

/** A store, gateways and workers; `zones` are dealt in turn. */
export class System {
  #folder = mkdtempSync(join(tmpdir(), "review-"));
  #processes = new Map();
  #settings = new Map();
  #isClosed = false;
  store = new PlatformStore();
  gateways = [];
  workers = [];

  constructor(recorder) {
    this.record = recorder.add;
  }

  async start({ gateways, workers, zones = ["uio-n", "uio-s"] }) {
    const base = await findPorts();
    const count = gateways + workers;
    const names = Array.from({ length: count }, (_, index) =>
      index < gateways ? `edge-${index + 1}` : `store-${index - gateways + 1}`,
    );
    for (const [index, name] of names.entries()) {
      const isGateway = index < gateways;
      const ip = `127.0.1.${index + 1}`;
      const settings = {
        instanceId: name,
        dataCentre: zones[index % zones.length],
        serves: [isGateway ? "edge" : "store"],
        host: ip,
        internalPorts: [base, base + PORT_RANGE - 1],
        ...(isGateway
          ? { callers: `${ip}:${base + 8}`, readiness: `${ip}:${base + 9}` }
          : {}),
        graceSeconds: 8,
        quotaSlack: 20,
        rampOver: 1.5,
        rampSlack: 5,
        store: await this.store.listen(name),
      };
      this.#settings.set(name, settings);
      (isGateway ? this.gateways : this.workers).push(name);
    }
    names.forEach((name) => {
      this.startProcess(name);
    });
    await this.#waitUntilReady();
  }

  getCallers(name) {
    return this.#settings.get(name).callers;
  }

  get addresses() {
    return this.gateways.map((name) => this.getCallers(name));
  }

  startProcess(name) {
    // `bootstrap` is true only when the whole system starts for the first time.
    const isFirstStart = !this.#processes.has(name);
    const settings = { ...this.#settings.get(name), isFirstStart };
    const path = join(this.#folder, `${name}.jsonc`);
    writeFileSync(path, JSON.stringify(settings));
    const role = settings.callers === undefined ? "worker" : "gateway";
    const [program, ...words] = readCommand(role);
    const log = [];
    const child = spawn(program, words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GOOSEBERRYLINE_NODE_FILE: path,
      },
      stdio: ["ignore", "pipe", "pipe"],
    });
    child.stdout.on("data", (chunk) => log.push(chunk));
    child.stderr.on("data", (chunk) => log.push(chunk));
    child.once("exit", (code, signal) => {
      this.record({ what: "process-ended", name, code, signal });
    });
    this.#processes.set(name, { child, log });
    this.record({ what: "process-started", name });
  }

  kill(name, signal) {
    this.record({ what: "signal", name, signal });
    this.#processes.get(name).child.kill(signal);
  }

  isRunning(name) {
    const { child } = this.#processes.get(name);
    return child.exitCode === null && child.signalCode === null;
  }

  /** Returns what a process wrote, for who looks for the cause. */
  readLog(name) {
    return Buffer.concat(this.#processes.get(name).log).toString();
  }

  writeConfig(config) {
    this.record({ what: "config", version: config.version });
    this.store.write("op/config", JSON.stringify(config));
  }

  async #waitUntilReady() {
    for (let tries = 0; tries < 250; tries += 1) {
      const answers = await Promise.all(
        this.gateways.map((name) =>
          call({
            address: this.#settings.get(name).readiness,
            path: "/gooseberryline/ready",
            host: "ready",
            key: "none",
            timeoutMs: 500,
          }),
        ),
      );
      const listed = this.store.list("").length;
      const isReady =
        listed > 0 && answers.every(({ status }) => status === 200);
      const members = [...this.gateways, ...this.workers].every((name) =>
        this.store.list("").some(({ key }) => key.endsWith(`/${name}`)),
      );
      if (isReady && members) {
        return;
      }
      await wait(100);
    }
    throw new Error("the system was not ready in 25 s");
  }

  async close() {
    if (this.#isClosed) {
      return;
    }
    this.#isClosed = true;
    const ended = [...this.#processes.values()].map(({ child }) =>
      child.exitCode !== null || child.signalCode !== null
        ? undefined
        : new Promise((resolve) => {
            child.once("exit", resolve);
            child.kill("SIGKILL");
          }),
    );
    await Promise.all(ended);
    this.store.close();
    rmSync(this.#folder, { recursive: true, force: true });
  }
}

/** Builds a configuration like that of a small deployment. */
export function buildConfig({ version, routes, services }) {
  return {
    version,
    routes: routes.map((route) => ({
      host: HOST,
      priority: 0,
      "slo-ms": 400,
      "timeout-ms": 5_000,
      "max-attempts": 2,
      public: false,
      ...route,
    })),
    services: services.map((name) => ({
      name,
      "health-path": "/healthz",
      "cold-start-s": 0,
      "cold-per-s": 17,
    })),
    limits: {
      "header-bytes": 16_384,
      "body-bytes": 4_194_304,
      "header-timeout-ms": 3_000,
      "idle-timeout-ms": 15_000,
    },
    tenants: [
      { name: "kaje80", "api-keys": [KEY], "rate-per-s": 100, burst: 100 },
    ],
  };
}

/**
 * Plays a case: exits with 1 if it returns broken rules, 0 if none, 2 if it could
 * not run. Writes the record and ends all processes.
 */
export async function playCase(folder, play) {
  const recorder = new Recorder();
  const system = new System(recorder);
  const isTroubled = process.env.TROUBLE !== "0";
  let code = 2;
  try {
    const broken = await play({ system, recorder, isTroubled });
    broken.forEach((text) => {
      recorder.add({ what: "rule-broken", text });
    });
    code = broken.length > 0 ? 1 : 0;
    process.stdout.write(`${broken.join("\n")}\n`);
  } catch (error) {
    recorder.add({ what: "could-not-run", reason: error.stack });
    process.stdout.write(`could not run: ${error.stack}\n`);
  } finally {
    if (process.env.LOGS !== undefined) {
      [...system.gateways, ...system.workers].forEach((name) => {
        writeFileSync(
          join(process.env.LOGS, `${name}.log`),
          system.readLog(name),
        );
      });
    }
    await system.close();
    recorder.add({ what: "exit", code });
    recorder.write(folder);
  }
  process.exit(code);
}
