import { createHash } from "node:crypto";
import { mkdtemp, writeFile } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { type FakeEngine, startEngine } from "@gooseberryline/fakes";
import { got } from "got";
import { buildProcessConfig } from "./build_process_config.ts";
import { type Program, spawnProgram } from "./spawn_program.ts";

const PACKAGES_FOLDER = new URL("../../../", import.meta.url).pathname;
const DAEMON_SCRIPT = join(PACKAGES_FOLDER, "daemon/dist/main.js");
const STORE_SCRIPT = join(PACKAGES_FOLDER, "fakes/dist/programs/store_main.js");
const ENGINES_PER_DATA_CENTRE = [3, 3, 2] as const;

/** Operator token accepted by each instance. */
const OPERATOR_TOKEN = "operator-token";

const DATA_CENTRES = ["a", "b", "c"] as const;

type Ports = {
  readonly caller: number;
  readonly admin: number;
  readonly peer: number;
};

/** Six daemon processes in three data centres, a store and eight engines. */
export class ProcessFleet {
  readonly engines: FakeEngine[] = [];
  readonly logs: string[] = [];
  readonly #daemons = new Map<string, Program>();
  readonly #ports = new Map<string, Ports>();
  #folder = "";
  #store: Program | undefined;

  get instanceIds(): readonly string[] {
    return [...this.#ports.keys()];
  }

  async start(customers: readonly string[]): Promise<void> {
    this.#folder = await mkdtemp(join(tmpdir(), "gooseberryline-run-"));
    const upstreams = await this.#startEngines();
    const document = buildProcessConfig({ customers, upstreams });
    const config = join(this.#folder, "config.json");
    await writeFile(config, JSON.stringify(document));
    const ids = DATA_CENTRES.flatMap((id) => [`${id}-1`, `${id}-2`]);
    for (const id of ids) {
      const [caller = 0, admin = 0, peer = 0] = await findPorts(3);
      this.#ports.set(id, { caller, admin, peer });
    }
    const listed = ids.flatMap((id) => [
      "--instance",
      `${id},${parseDataCentre(id)},127.0.0.1:${this.#ports.get(id)?.peer}`,
    ]);
    this.#store = await spawnProgram(STORE_SCRIPT, [
      "--config",
      config,
      ...listed,
    ]);
    await Promise.all(ids.map((id) => this.startDaemon(id)));
    await Promise.all(ids.map((id) => this.#waitUntilReady(id)));
  }

  async startDaemon(id: string): Promise<void> {
    const ports = this.#ports.get(id);
    const settings = {
      instanceId: id,
      dataCentre: parseDataCentre(id),
      callerListener: { port: ports?.caller },
      adminListener: { port: ports?.admin },
      peerListener: { port: ports?.peer },
      platform: { url: this.#store?.listening.url },
      dataFolder: join(this.#folder, id),
      operators: [
        {
          name: "run",
          role: "operator",
          tokenHash: createHash("sha256").update(OPERATOR_TOKEN).digest("hex"),
        },
      ],
    };
    const file = join(this.#folder, `${id}.jsonc`);
    await writeFile(file, JSON.stringify(settings));
    const program = await spawnProgram(
      DAEMON_SCRIPT,
      ["--settings", file],
      (line) => {
        this.logs.push(line);
      },
    );
    this.#daemons.set(id, program);
  }

  /** Signals a daemon; for SIGKILL and SIGTERM, resolves with its exit code. */
  async signal(id: string, signal: NodeJS.Signals): Promise<number | null> {
    const program = this.#daemons.get(id);
    program?.process.kill(signal);
    const isEnding = signal === "SIGKILL" || signal === "SIGTERM";
    return isEnding ? ((await program?.ended) ?? null) : null;
  }

  getCallerUrl(id: string): string {
    return `http://127.0.0.1:${this.#ports.get(id)?.caller}`;
  }

  /** Posts to the admin API of an instance. */
  async administer(id: string, path: string): Promise<void> {
    const { admin } = this.#ports.get(id) ?? {};
    await got.post(`http://127.0.0.1:${admin}/admin/v1/${path}`, {
      headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
    });
  }

  async setStoreFaults(
    faults: Readonly<Record<string, unknown>>,
  ): Promise<void> {
    const url = this.#store?.listening.url;
    await got.post(`${url}/control/faults`, { json: faults });
  }

  async stop(): Promise<void> {
    this.#daemons.forEach(({ process: child }) => {
      child.kill("SIGKILL");
    });
    this.#store?.process.kill("SIGKILL");
    await Promise.all(this.engines.map((engine) => engine.close()));
  }

  async #startEngines() {
    const dataCentres = DATA_CENTRES.flatMap((dataCentre, index) =>
      Array.from(
        { length: ENGINES_PER_DATA_CENTRE[index] ?? 0 },
        () => dataCentre,
      ),
    );
    return Promise.all(
      dataCentres.map(async (dataCentre, index) => {
        const engine = await startEngine({
          firstTokenMs: 50,
          tokenMs: 10,
          tokens: 12,
        });
        this.engines.push(engine);
        return { id: `engine-${index}`, dataCentre, url: engine.url };
      }),
    );
  }

  async #waitUntilReady(id: string): Promise<void> {
    const { admin } = this.#ports.get(id) ?? {};
    const { statusCode } = await got(`http://127.0.0.1:${admin}/readyz`, {
      throwHttpErrors: false,
      retry: { limit: 0 },
    });
    if (statusCode !== 200) {
      await new Promise((resolve) => setTimeout(resolve, 50));
      await this.#waitUntilReady(id);
    }
  }
}

function parseDataCentre(id: string): string {
  return id.split("-")[0] ?? "";
}

async function findPorts(count: number): Promise<readonly number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.listen(0, "127.0.0.1", resolve);
        }),
    ),
  );
  const ports = servers.map((server) => {
    const address = server.address();
    return typeof address === "object" ? (address?.port ?? 0) : 0;
  });
  await Promise.all(
    servers.map(
      (server) =>
        new Promise<void>((resolve) => {
          server.close(() => resolve());
        }),
    ),
  );
  return ports;
}
