import { z } from "zod";
import { isPrivateAddress } from "../tls/is_private_address.ts";
import { TLS_SCHEMA } from "../tls/tls_schema.ts";

const PORT = z.number().int().min(0).max(65_535);

const TIMEOUT_MS = z.number().int().positive();

const LISTENER = z.strictObject({
  /** IP number to bind. */
  host: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
  /** Port to bind; 0 takes any free one. */
  port: PORT.default(0),
  /** Time for a request's headers to arrive, milliseconds. */
  headersTimeoutMs: TIMEOUT_MS.default(10_000),
  /** Time for a whole request to arrive, milliseconds. */
  requestTimeoutMs: TIMEOUT_MS.default(60_000),
  /** Absent serves without TLS. */
  tls: TLS_SCHEMA.optional(),
});

const METRICS = z.strictObject({
  /** Host and port of a StatsD receiver, reached by UDP. */
  host: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
  port: PORT.default(8125),
});

const ADDRESS = z.string().regex(/^(\d+\.\d+\.\d+\.\d+|\[[0-9a-f:]+\]):\d+$/);

const PEER_LISTENER = z.strictObject({
  host: z.union([z.ipv4(), z.ipv6()]).default("127.0.0.1"),
  port: PORT.default(0),
  /** `IP:port` under which peers reach it, where that isn't what it binds. */
  advertise: ADDRESS.optional(),
  /** Absent connects without TLS; both ends must have it or neither. */
  tls: TLS_SCHEMA.extend({
    /** PEM file with the authority that signs every instance. */
    caFile: z.string().min(1),
    /** DNS name that the certificate of every instance carries. */
    name: z.string().min(1).default("gooseberryline"),
  }).optional(),
});

const OPERATOR = z.strictObject({
  name: z.string().min(1),
  /** SHA-256 of the operator's token, hex. */
  tokenHash: z.string().regex(/^[0-9a-f]{64}$/),
  role: z.enum(["viewer", "operator"]),
});

const SETTINGS = z.strictObject({
  instanceId: z.string().regex(/^[a-zA-Z0-9][a-zA-Z0-9._-]{0,62}$/),
  dataCentre: z.string().min(1),
  callerListener: LISTENER.prefault({}),
  adminListener: LISTENER.prefault({}),
  /** Where other instances of the system connect. */
  peerListener: PEER_LISTENER.prefault({}),
  /** Peer listeners to start from while the platform gives no list. */
  peers: z.array(ADDRESS).default([]),
  platform: z.strictObject({ url: z.url() }).optional(),
  /** Folder on a disk that outlasts the process; absent keeps nothing. */
  dataFolder: z.string().optional(),
  /** Absent sends no metrics. */
  metrics: METRICS.optional(),
  /** How long a stopping instance goes on accepting, for the balancer. */
  stopNoticeMs: z.number().int().nonnegative().default(2_000),
  /** Lets listeners without TLS bind addresses that are not private. */
  allowInsecure: z.boolean().default(false),
  operators: z.array(OPERATOR).default([]),
  /** Configuration that `--embedded` starts with. */
  embeddedConfig: z.unknown().optional(),
});

const LISTENERS = ["callerListener", "adminListener", "peerListener"] as const;

/** Checks the settings file of an instance; unknown keys are refused. */
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
