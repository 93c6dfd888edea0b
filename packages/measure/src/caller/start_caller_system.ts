import { createHash } from "node:crypto";
import type { ConfigDocument } from "@gooseberryline/core";
import type { Settings } from "@gooseberryline/daemon";
import { type EngineOptions, startService } from "@gooseberryline/fakes";
import { startSystem } from "../support/start_system.ts";

/**
 * Starts a system for tests of the caller interface. It has the model
 * `demo-model`, the plain services `stock` and `open` on one fake service, the
 * profiles `standard`, `small`, `long` and `once` (not idempotent), and a
 * second customer with the key `other-key`.
 */
export async function startCallerSystem(
  options: {
    readonly engine?: EngineOptions;
    readonly settings?: Partial<Settings>;
  } = {},
) {
  const service = await startService();
  const system = await startSystem({
    ...options,
    engines: 1,
    changeConfig: (document) => addServices(document, service.url),
  });
  const stop = async (): Promise<void> => {
    await system.stop();
    await service.close();
  };
  const api = system.api.extend({ throwHttpErrors: false });
  return { ...system, api, service, stop };
}

function addServices(document: ConfigDocument, url: string): ConfigDocument {
  const { standard } = document.profiles;
  const { demo } = document.customers;
  if (standard === undefined || demo === undefined) {
    throw new Error(
      'the document has no profile "standard" or customer "demo"',
    );
  }
  const limits = { bodyBytes: 400, tokens: 300, items: 5, models: ["none"] };
  const upstream = { dataCentre: "a", url, maxConcurrency: 8 };
  const hash = createHash("sha256").update("other-key").digest("hex");
  return {
    ...document,
    services: {
      ...document.services,
      stock: { kind: "plain", openToAll: false },
      open: {
        kind: "plain",
        openToAll: true,
        openProfile: "standard",
        openRate: 2,
      },
    },
    upstreams: {
      ...document.upstreams,
      "stock-0": { service: "stock", ...upstream },
      "open-0": { service: "open", ...upstream },
    },
    profiles: {
      ...document.profiles,
      small: { ...standard, limits },
      long: { ...standard, limits: { ...standard.limits, tokens: 100_000 } },
      once: { ...standard, idempotent: false },
    },
    customers: {
      ...document.customers,
      other: { ...demo, keys: [{ id: "other", hash }] },
    },
  };
}
