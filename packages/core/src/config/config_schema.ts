import { z } from "zod";

const NAME = z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/);
const MS = z.number().int().positive();

const PROFILE = z.strictObject({
  /** Target time to the first token, in milliseconds. */
  firstTokenMs: MS,
  /** Target time to the complete answer, in milliseconds. */
  deadlineMs: MS,
  /** Whether a request that may have run can be retried. */
  idempotent: z.boolean(),
  /** Time within which a batch job is due, in milliseconds. */
  batchDueMs: MS,
  /** Service level objective: fraction of requests on target, e.g. 0.99. */
  objective: z.number().gt(0).lt(1).default(0.99),
  limits: z.strictObject({
    bodyBytes: z.number().int().positive().default(1_048_576),
    tokens: z.number().int().positive().default(32_768),
    items: z.number().int().positive().default(930_000),
    /** Models that the profile may use. All if absent. */
    models: z.array(NAME).optional(),
  }),
});

const SERVICE = z.strictObject({
  kind: z.enum(["model", "plain"]),
  /** Whether callers without a tenant key may use the route. */
  openToAll: z.boolean().default(false),
  /** Profile of calls without a key. Required if `openToAll` is set. */
  openProfile: NAME.optional(),
  /** Calls without a key that each instance accepts per second. */
  openRate: z.number().min(1).optional(),
});

const UPSTREAM = z.strictObject({
  service: NAME,
  dataCentre: NAME,
  /** Base URL with an IP address, e.g. `http://127.0.0.1:8001`. */
  url: z.url({ protocol: /^https?$/ }),
  /** Concurrent requests that the upstream can run when warm. */
  maxConcurrency: z.number().int().positive(),
});

const KEY = z.strictObject({
  id: NAME,
  /** SHA-256 of the tenant key, in hex. */
  hash: z.string().regex(/^[0-9a-f]{64}$/),
});

const CUSTOMER = z.strictObject({
  /** Token bucket rate over the whole fleet, in requests per second. */
  rate: z.number().positive(),
  /** Token bucket capacity over the whole fleet, in requests. */
  burst: z.number().positive(),
  /** Relative weight when capacity is contended. */
  weight: z.number().positive().default(1),
  defaultProfile: NAME,
  batchProfile: NAME,
  keys: z.array(KEY).default([]),
});

/** Schema of a configuration document. Unknown keys are rejected. */
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
