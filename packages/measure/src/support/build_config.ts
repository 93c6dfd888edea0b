import type { ConfigDocument } from "@gooseberryline/core";

const HOUR_MS = 3_600_000;

/** Builds the configuration of a small system with one data centre. */
export function buildConfig(options: {
  readonly keyHash: string;
  readonly engineUrls: readonly string[];
}): ConfigDocument {
  const service = "demo-model";
  const upstreams = options.engineUrls.map((url, index) => [
    `engine-${index}`,
    { service, dataCentre: "a", url, maxConcurrency: 8 },
  ]);
  return {
    dataCentres: { a: { state: "in" } },
    services: { [service]: { kind: "model", openToAll: false } },
    upstreams: Object.fromEntries(upstreams),
    profiles: {
      standard: {
        firstTokenMs: 1_100,
        deadlineMs: 30_000,
        idempotent: true,
        batchDueMs: HOUR_MS,
        objective: 0.99,
        limits: { bodyBytes: 65_536, tokens: 4_096, items: 10_000 },
      },
    },
    customers: {
      demo: {
        rate: 50,
        burst: 50,
        weight: 1,
        defaultProfile: "standard",
        batchProfile: "standard",
        keys: [{ id: "demo", hash: options.keyHash }],
      },
    },
  };
}
