// A configuration like that of a small deployment: a stream that may be resumed, one
// that may not, and batch jobs, all at one service.
export const HOST = "nony24.example";
export const KEY = "i9n73hh2b9wu3fexd9dn";
export const SERVICE = "pega";

const route = (name, fields) => ({
  name,
  host: HOST,
  prefix: `/${name}/`,
  service: SERVICE,
  "timeout-ms": 5000,
  "slo-ms": 300,
  priority: 0,
  "max-attempts": 2,
  ...fields,
});

export function buildConfig(version = 10, changes = {}) {
  return {
    version,
    routes: [
      route("long", { kind: "stream", resumable: true, "gap-aim-ms": 300 }),
      route("short", { kind: "stream", "gap-aim-ms": 300, "max-attempts": 1 }),
      route("tender", {
        kind: "batch",
        priority: 2,
        "timeout-ms": 15000,
        "slo-ms": 400,
        "max-attempts": 3,
        "due-ms": 18000,
        "retention-s": 60,
      }),
    ],
    services: [
      {
        name: SERVICE,
        "health-path": "/healthz",
        "max-conns": 300,
        "cold-start-s": 3,
        "cold-per-s": 17,
      },
    ],
    limits: {
      "header-bytes": 16384,
      "body-bytes": 4194304,
      "header-timeout-ms": 3000,
      "idle-timeout-ms": 15000,
    },
    tenants: [{ name: "kaje80", "api-keys": [KEY], "rate-per-s": 0, burst: 0 }],
    ...changes,
  };
}

/** Builds a server's entry in the store. */
export function buildEntry({ address, zone = "a", slots = 8 }) {
  return {
    service: SERVICE,
    address,
    zone,
    version: "v1",
    slots,
    state: "ready",
    "cold-left-ms": 0,
    sequence: 1,
    born: Date.now(),
  };
}
