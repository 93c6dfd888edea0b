import { createHash } from "node:crypto";
import type { ConfigDocument, ListedInstance } from "@gooseberryline/core";
import {
  createLog,
  type Daemon,
  parseSettings,
  startDaemon,
} from "@gooseberryline/daemon";
import {
  type EngineOptions,
  type FakeEngine,
  type FakeStore,
  startEngine,
  startStore,
} from "@gooseberryline/fakes";
import { connectPlatform } from "@gooseberryline/protocol";
import { type Got, got } from "got";
import { buildConfig } from "./build_config.ts";

/** Several in-process daemons that share one store and a set of engines. */
export type Fleet = {
  readonly store: FakeStore;
  readonly engines: readonly FakeEngine[];
  readonly daemons: ReadonlyMap<string, Daemon>;
  readonly logLines: readonly string[];
  /** Starts a daemon; the platform lists it unless `isListed` is false. */
  readonly start: (spec: DaemonSpec) => Promise<Daemon>;
  /** Stops a daemon gracefully, or kills it if `isAbrupt`. */
  readonly end: (instanceId: string, isAbrupt?: boolean) => Promise<void>;
  readonly getApi: (instanceId: string) => Got;
  /** Stores a new configuration document and returns its revision. */
  readonly storeConfig: (document: ConfigDocument) => Promise<number>;
  readonly stop: () => Promise<void>;
};

/** Identity of a daemon, and settings that differ from the defaults. */
export type DaemonSpec = {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly settings?: Readonly<Record<string, unknown>>;
  readonly isListed?: boolean;
};

/** Starts a fleet with a single customer whose key is `demo-key`. */
export async function startFleet(options: {
  readonly daemonSpecs: readonly DaemonSpec[];
  readonly engines?: number;
  readonly engine?: EngineOptions;
}): Promise<Fleet> {
  const store = await startStore();
  const engines = await Promise.all(
    Array.from({ length: options.engines ?? 1 }, () =>
      startEngine(options.engine ?? { tokenMs: 2 }),
    ),
  );
  const platform = connectPlatform(store.url);
  const daemons = new Map<string, Daemon>();
  const listed = new Map<string, ListedInstance>();
  const logLines: string[] = [];
  const control = { revision: 0, version: 0 };
  const storeConfig = async (document: ConfigDocument): Promise<number> => {
    control.revision += 1;
    const { revision } = control;
    const answer = await platform.cas({
      key: "config/current",
      value: JSON.stringify({ revision, document }),
      expect: control.version,
    });
    if (answer.kind !== "written") {
      throw new Error("the configuration was changed by another writer");
    }
    control.version = answer.version;
    return revision;
  };
  const updateListedInstances = (): void =>
    store.setInstances([...listed.values()]);
  const start = async (spec: DaemonSpec): Promise<Daemon> => {
    const { instanceId, dataCentre } = spec;
    const text = JSON.stringify({ instanceId, dataCentre, ...spec.settings });
    const parsed = parseSettings(text);
    if (parsed.kind === "invalid") {
      throw new Error(JSON.stringify(parsed.faults));
    }
    const log = createLog({ instanceId }, (line) => {
      logLines.push(line);
    });
    const daemon = await startDaemon(parsed.settings, platform, { log });
    daemons.set(instanceId, daemon);
    if (spec.isListed !== false) {
      const address = daemon.peer;
      listed.set(instanceId, {
        instanceId,
        dataCentre,
        address,
        state: "live",
      });
      updateListedInstances();
    }
    return daemon;
  };
  const end = async (instanceId: string, isAbrupt = false): Promise<void> => {
    const daemon = daemons.get(instanceId);
    daemons.delete(instanceId);
    listed.delete(instanceId);
    updateListedInstances();
    if (isAbrupt) {
      daemon?.kill();
    } else {
      await daemon?.stop();
    }
  };
  await storeConfig(
    buildConfig({
      keyHash: createHash("sha256").update("demo-key").digest("hex"),
      engineUrls: engines.map(({ url }) => url),
    }),
  );
  await Promise.all(options.daemonSpecs.map(start));
  return {
    store,
    engines,
    daemons,
    logLines,
    start,
    end,
    storeConfig,
    getApi: (instanceId) =>
      got.extend({
        prefixUrl: `http://${daemons.get(instanceId)?.caller}`,
        headers: { authorization: "Bearer demo-key" },
        retry: { limit: 0 },
      }),
    stop: async () => {
      await Promise.all([...daemons.keys()].map((id) => end(id)));
      await store.close();
      await Promise.all(engines.map((engine) => engine.close()));
    },
  };
}
