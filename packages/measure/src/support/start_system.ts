import { createHash } from "node:crypto";
import type { ConfigDocument, RunRecord } from "@gooseberryline/core";
import {
  createLog,
  parseSettings,
  type Settings,
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
import { waitUntil } from "./wait_until.ts";

/** One daemon with an in-process store and fake engines. */
export type System = {
  readonly api: Got;
  readonly callerUrl: string;
  readonly adminUrl: string;
  readonly store: FakeStore;
  readonly engines: readonly FakeEngine[];
  readonly runs: readonly RunRecord[];
  readonly logLines: readonly string[];
  readonly stop: () => Promise<void>;
};

/** Starts a small system with a single customer whose key is `demo-key`. */
export async function startSystem(options: {
  readonly engines: number;
  readonly engine?: EngineOptions;
  readonly operators?: Settings["operators"];
  readonly settings?: Partial<Settings>;
  /** Modifies the initial configuration document. */
  readonly changeConfig?: (document: ConfigDocument) => ConfigDocument;
}): Promise<System> {
  const self = { instanceId: "one", dataCentre: "a", address: "" };
  const store = await startStore({ instances: [{ ...self, state: "live" }] });
  const engines = await Promise.all(
    Array.from({ length: options.engines }, () =>
      startEngine(options.engine ?? { tokenMs: 2 }),
    ),
  );
  const defaultDocument = buildConfig({
    keyHash: createHash("sha256").update("demo-key").digest("hex"),
    engineUrls: engines.map(({ url }) => url),
  });
  const document = options.changeConfig?.(defaultDocument) ?? defaultDocument;
  const platform = connectPlatform(store.url);
  await platform.cas({
    key: "config/current",
    value: JSON.stringify({ revision: 1, document }),
    expect: 0,
  });
  const parsed = parseSettings('{"instanceId":"one","dataCentre":"a"}');
  if (parsed.kind === "invalid") {
    throw new Error("the built-in settings are invalid");
  }
  const operators = options.operators ?? [];
  const settings = { ...parsed.settings, operators, ...options.settings };
  const runs: RunRecord[] = [];
  const logLines: string[] = [];
  const log = createLog({}, (line) => {
    logLines.push(line);
  });
  const daemon = await startDaemon(settings, platform, {
    log,
    onRun: (run) => {
      runs.push(run);
    },
  });
  const callerUrl = `http://${daemon.caller}`;
  const adminUrl = `http://${daemon.admin}`;
  await waitUntil(async () => {
    const { statusCode } = await got(`${adminUrl}/readyz`, {
      throwHttpErrors: false,
    });
    return statusCode === 200;
  });
  return {
    api: got.extend({
      prefixUrl: callerUrl,
      headers: { authorization: "Bearer demo-key" },
      retry: { limit: 0 },
    }),
    callerUrl,
    adminUrl,
    store,
    engines,
    runs,
    logLines,
    stop: async () => {
      await daemon.stop();
      await store.close();
      await Promise.all(engines.map((engine) => engine.close()));
    },
  };
}
