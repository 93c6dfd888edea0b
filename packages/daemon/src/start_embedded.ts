import { createHash } from "node:crypto";
import { type FakeStore, startEngine, startStore } from "@gooseberryline/fakes";
import { connectPlatform } from "@gooseberryline/protocol";
import type { Settings } from "./settings/types.ts";

const EMBEDDED_TOKEN_MS = 5;
const HOUR_MS = 3_600_000;

/** The in-process platform store and engine of `--embedded`. */
export type Embedded = {
  readonly store: FakeStore;
  readonly close: () => Promise<void>;
};

/**
 * Starts an in-process platform store and a fake engine. The configuration is
 * the settings' `embeddedConfig`, or a default with a single customer whose key
 * is `demo-key`.
 */
export async function startEmbedded(settings: Settings): Promise<Embedded> {
  const { instanceId, dataCentre } = settings;
  const self = { instanceId, dataCentre, address: "", state: "live" } as const;
  const store = await startStore({ instances: [self] });
  const engine = await startEngine({ tokenMs: EMBEDDED_TOKEN_MS });
  const document =
    settings.embeddedConfig ?? buildConfig(settings.dataCentre, engine.url);
  await connectPlatform(store.url).cas({
    key: "config/current",
    value: JSON.stringify({ revision: 1, document }),
    expect: 0,
  });
  return {
    store,
    close: async () => {
      await store.close();
      await engine.close();
    },
  };
}

function buildConfig(dataCentre: string, url: string): unknown {
  const service = "demo-model";
  const hash = createHash("sha256").update("demo-key").digest("hex");
  return {
    dataCentres: { [dataCentre]: { state: "in" } },
    services: { [service]: { kind: "model" } },
    upstreams: { engine: { service, dataCentre, url, maxConcurrency: 8 } },
    profiles: {
      standard: {
        firstTokenMs: 1_100,
        deadlineMs: 60_000,
        idempotent: true,
        batchDueMs: HOUR_MS,
        limits: {},
      },
    },
    customers: {
      demo: {
        rate: 50,
        burst: 50,
        defaultProfile: "standard",
        batchProfile: "standard",
        keys: [{ id: "demo", hash }],
      },
    },
  };
}
