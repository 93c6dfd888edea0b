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

/** Several daemons in this process, over one store and some engines. */
export type Fleet = {
  readonly store: FakeStore;
  readonly engines: readonly FakeEngine[];
  readonly daemons: ReadonlyMap<string, Daemon>;
  readonly logLines: readonly string[];
  /** Starts a daemon; the platform lists it unless told otherwise. */
  readonly start: (place: FleetPlace) => Promise<Daemon>;
  /** Stops a daemon gracefully, or at once where `isHard`. */
  readonly end: (instanceId: string, isHard?: boolean) => Promise<void>;
  readonly api: (instanceId: string) => Got;
  /** Accepts a new configuration, as an operator does. */
  readonly putConfig: (document: ConfigDocument) => Promise<number>;
  readonly stop: () => Promise<void>;
};

/** Where a daemon stands, and what its settings add. */
export type FleetPlace = {
  readonly instanceId: string;
  readonly dataCentre: string;
  readonly settings?: Readonly<Record<string, unknown>>;
  readonly isListed?: boolean;
};

/** Starts a fleet whose only customer has the key `demo-key`. */
export async function startFleet(options: {
  readonly places: readonly FleetPlace[];
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
  const putConfig = async (document: ConfigDocument): Promise<number> => {
    control.revision += 1;
    const { revision } = control;
    const answer = await platform.cas({
      key: "config/current",
      value: JSON.stringify({ revision, document }),
      expect: control.version,
    });
    if (answer.kind !== "written") {
      throw new Error("the configuration was changed by another");
    }
    control.version = answer.version;
    return revision;
  };
  const showList = (): void => store.setInstances([...listed.values()]);
  const start = async (place: FleetPlace): Promise<Daemon> => {
    const { instanceId, dataCentre } = place;
    const text = JSON.stringify({ instanceId, dataCentre, ...place.settings });
    const parsed = parseSettings(text);
    if (parsed.kind === "invalid") {
      throw new Error(JSON.stringify(parsed.faults));
    }
    const log = createLog({ instanceId }, (line) => {
      logLines.push(line);
    });
    const daemon = await startDaemon(parsed.settings, platform, { log });
    daemons.set(instanceId, daemon);
    if (place.isListed !== false) {
      const address = daemon.peer;
      listed.set(instanceId, {
        instanceId,
        dataCentre,
        address,
        state: "live",
      });
      showList();
    }
    return daemon;
  };
  const end = async (instanceId: string, isHard = false): Promise<void> => {
    const daemon = daemons.get(instanceId);
    daemons.delete(instanceId);
    listed.delete(instanceId);
    showList();
    if (isHard) {
      daemon?.kill();
    } else {
      await daemon?.stop();
    }
  };
  await putConfig(
    buildConfig({
      keyHash: createHash("sha256").update("demo-key").digest("hex"),
      engineUrls: engines.map(({ url }) => url),
    }),
  );
  await Promise.all(options.places.map(start));
  return {
    store,
    engines,
    daemons,
    logLines,
    start,
    end,
    putConfig,
    api: (instanceId) =>
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
