import { createHash } from "node:crypto";
import { CUSTOMER_LIMIT } from "./constants.ts";

const HOUR_MS = 3_600_000;

/** Builds the fleet's configuration; customer `x` has the key `key-x`. */
export function buildProcessConfig(options: {
  readonly customers: readonly string[];
  readonly upstreams: readonly {
    readonly id: string;
    readonly dataCentre: string;
    readonly url: string;
  }[];
}): unknown {
  const service = "pega";
  const profile = {
    firstTokenMs: 1_100,
    deadlineMs: 10_000,
    idempotent: true,
    batchDueMs: HOUR_MS,
    limits: {},
  };
  return {
    dataCentres: { a: {}, b: {}, c: {} },
    services: { [service]: { kind: "model" } },
    upstreams: Object.fromEntries(
      options.upstreams.map(({ id, dataCentre, url }) => [
        id,
        { service, dataCentre, url, maxConcurrency: 8 },
      ]),
    ),
    profiles: { stock: profile, order: { ...profile, idempotent: false } },
    customers: Object.fromEntries(
      options.customers.map((id) => [
        id,
        {
          ...CUSTOMER_LIMIT,
          defaultProfile: "stock",
          batchProfile: "stock",
          keys: [
            {
              id: `${id}-key`,
              hash: createHash("sha256").update(`key-${id}`).digest("hex"),
            },
          ],
        },
      ]),
    ),
  };
}
