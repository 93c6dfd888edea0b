import { z } from "zod";
import { isPrivateAddress } from "../tls/is_private_address.ts";
import { TLS_SCHEMA } from "../tls/tls_schema.ts";

const PORT = z.number().int().min(0).max(65_535);

const TIMEOUT_MS = z.number().int().positive();

const LISTENER = z.strictObject({
  /** IP address to bind. */
  host: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
  /** Port to bind; 0 selects a free port. */
  port: PORT.default(0),
  /** Timeout for receiving a request's headers, in milliseconds. */
  headersTimeoutMs: TIMEOUT_MS.default(10_000),
  /** Timeout for receiving an entire request, in milliseconds. */
  requestTimeoutMs: TIMEOUT_MS.default(60_000),
  /** If absent, the listener serves without TLS. */
  tls: TLS_SCHEMA.optional(),
});

const METRICS = z.strictObject({
  /** Host and port of a StatsD server, reached over UDP. */
  host: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
  port: PORT.default(8125),
});

const ADDRESS = z.string().regex(/^(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d+$/);

const PEER_LISTENER = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
  port: PORT.default(0),
  /** `IP:port` that peers connect to, if it differs from the bound address. */
  advertise: ADDRESS.optional(),
  /** If absent, connections use no TLS; both ends must agree. */
  tls: TLS_SCHEMA.extend({
    /** PEM file of the certificate authority that signs all instances. */
    caFile: z.string().min(1),
    /** DNS name in the certificate of every instance. */
    name: z.string().min(1).default("gooseberryline"),
  }).optional(),
});

const OPERATOR = z.strictObject({
  name: z.string().min(1),
  /** SHA-256 hash of the operator's token, in hexadecimal. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/),
  role: z.enum(["viewer", "operator"]),
});

const SETTINGS = z.strictObject({
  instanceId: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/),
  dataCentre: z.string().min(1),
  callerListener: LISTENER.prefault({}),
  adminListener: LISTENER.prefault({}),
  /** Listener that other instances connect to. */
  peerListener: PEER_LISTENER.prefault({}),
  /** Addresses of seed peers, used while the platform returns no list. */
  peers: z.array(ADDRESS).default([]),
  platform: z.strictObject({ url: z.url() }).optional(),
  /** Folder on a persistent disk; if absent, nothing is stored. */
  dataFolder: z.string().optional(),
  /** If absent, no metrics are sent. */
  metrics: METRICS.optional(),
  /**
   * Time for which a stopping instance still accepts requests, in milliseconds,
   * so that the load balancer can remove it.
   */
  stopNoticeMs: z.number().int().nonnegative().default(2_000),
  /** Allows listeners without TLS to bind public addresses. */
  allowInsecure: z.boolean().default(false),
  operators: z.array(OPERATOR).default([]),
  /** Initial configuration for `--embedded`. */
  embeddedConfig: z.unknown().optional(),
});

const LISTENERS = ["callerListener", "adminListener", "peerListener"] as const;

/** Schema of an instance's settings file; rejects unknown keys. */
export const SETTINGS_SCHEMA = SETTINGS.superRefine((settings, context) => {
  LISTENERS.filter((name) => {
    const { tls, host } = settings[name];
    const isSafe = tls !== undefined || isPrivateAddress(host);
    return !isSafe && !settings.allowInsecure;
  }).forEach((name) => {
    context.addIssue({
      code: "custom",
      path: [name, "host"],
      message:
        "without tls only loopback or private addresses may be bound " +
        "(allowInsecure lifts this)",
    });
  });
});
