import { z } from "zod";

const NAME = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/);
const MS = z.number().int().positive();

const PROFILE = z.strictObject({
  /** Promised time to the first token, milliseconds. */
  firstTokenMs: MS,
  /** Promised time to the whole answer, milliseconds. */
  deadlineMs: MS,
  /** Whether a request may be sent again after it may have run. */
  idempotent: z.boolean(),
  /** How long a batch job may take, milliseconds. */
  batchDueMs: MS,
  /** Share of requests that keep the promise, e.g. 0.99. */
  objective: z.number().gt(0).lt(1).default(0.99),
  limits: z.strictObject({
    bodyBytes: z.number().int().positive().default(1_048_576),
    tokens: z.number().int().positive().default(32_768),
    items: z.number().int().positive().default(930_000),
    /** Models the profile may use; absent means all. */
    models: z.array(NAME).optional(),
  }),
});

const SERVICE = z.strictObject({
  kind: z.enum(["model", "plain"]),
  /** Whether the route is open to callers without a tenant key. */
  openToAll: z.boolean().default(false),
  /** Profile of calls to a service that is open to all; needed there. */
  openProfile: NAME.optional(),
  /** Calls a second that each instance takes for it without a key. */
  openRate: z.number().min(1).optional(),
});

const UPSTREAM = z.strictObject({
  service: NAME,
  dataCentre: NAME,
  /** Base URL by IP number, e.g. `http://127.0.0.1:8001`. */
  url: z.url({ protocol: /^https?$/ }),
  /** Requests that the upstream runs at once when warm. */
  maxConcurrency: z.number().int().positive(),
});

const KEY = z.strictObject({
  id: NAME,
  /** SHA-256 of the tenant key, hex. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
});

const CUSTOMER = z.strictObject({
  /** Requests a second over the whole fleet. */
  rate: z.number().positive(),
  /** Requests at once over the whole fleet. */
  burst: z.number().positive(),
  /** Relative part of contended capacity. */
  weight: z.number().positive().default(1),
  defaultProfile: NAME,
  batchProfile: NAME,
  keys: z.array(KEY).default([]),
});

/** Checks a configuration document; unknown keys are refused. */
export const CONFIG_SCHEMA = z.strictObject({
  dataCentres: z.record(
    NAME,
    z.strictObject({ state: z.enum(["in", "out"]).default("in") }),
  ),
  services: z.record(NAME, SERVICE),
  upstreams: z.record(NAME, UPSTREAM),
  profiles: z.record(NAME, PROFILE),
  customers: z.record(NAME, CUSTOMER),
});
