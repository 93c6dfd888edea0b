import type { ConfigDocument } from "@gooseberryline/core";

const HOUR_MS = 3_600_000;

/** Size and limits of a simulated fleet. */
export type WorldSize = {
  readonly dataCentres: readonly string[];
  readonly upstreamsPerDataCentre: number;
  readonly customers: readonly string[];
  readonly rate?: number;
  readonly burst?: number;
  readonly concurrency?: number;
};

/**
 * Builds the configuration of a simulated fleet, with the current production
 * limits by default.
 */
export function buildWorldConfig(options: WorldSize): ConfigDocument {
  const upstreams = options.dataCentres.flatMap((dataCentre) =>
    Array.from({ length: options.upstreamsPerDataCentre }, (_, at) => [
      `${dataCentre}-u${at}`,
      {
        service: "letterdesk-llm",
        dataCentre,
        url: "http://127.0.0.1:1",
        maxConcurrency: options.concurrency ?? 16,
      },
    ]),
  );
  const profile = {
    firstTokenMs: 1_100,
    deadlineMs: 15_000,
    idempotent: true,
    batchDueMs: HOUR_MS,
    objective: 0.99,
    limits: { bodyBytes: 65_536, tokens: 4_096, items: 930_000 },
  };
  return {
    dataCentres: Object.fromEntries(
      options.dataCentres.map((id) => [id, { state: "in" as const }]),
    ),
    services: { "letterdesk-llm": { kind: "model", openToAll: false } },
    upstreams: Object.fromEntries(upstreams),
    profiles: {
      counter: profile,
      charge: { ...profile, idempotent: false },
    },
    customers: Object.fromEntries(
      options.customers.map((id) => [
        id,
        {
          rate: options.rate ?? 20,
          burst: options.burst ?? 20,
          weight: 1,
          defaultProfile: "counter",
          batchProfile: "counter",
          keys: [{ id: `${id}-key`, hash: "0".repeat(64) }],
        },
      ]),
    ),
  };
}
