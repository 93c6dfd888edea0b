import { Agent } from "node:http";
import type { PlatformRecord } from "@gooseberryline/core";
import { got, HTTPError, TimeoutError } from "got";
import { PlatformError } from "./platform_error.ts";
import type { CasAnswer, Platform, WatchAnswer } from "./types.ts";

const CALL_TIMEOUT_MS = 2_000;
const DEFAULT_RETRY_AFTER_MS = 1_000;

/** Creates a client of the platform's key-value service at a base URL. */
export function connectPlatform(url: string): Platform {
  // Each watch opens its own connection, since a pooled one may be dead.
  const watchAgent = { http: new Agent({ keepAlive: false }) };
  const sendCall = <Answer>(
    path: string,
    body: unknown,
    timeoutMs = CALL_TIMEOUT_MS,
  ): Promise<Answer> =>
    got
      .post(`${url}/${path}`, {
        json: body,
        retry: { limit: 0 },
        timeout: { request: timeoutMs },
      })
      .json<Answer>()
      .catch((error: unknown) => {
        throw toPlatformError(error, path, url);
      });
  return {
    get: async (key) =>
      (await sendCall<{ record?: PlatformRecord }>("kv/get", { key })).record,
    list: async (prefix) =>
      (await sendCall<{ records: PlatformRecord[] }>("kv/list", { prefix }))
        .records,
    cas: (request) => sendCall<CasAnswer>("kv/cas", request),
    watch: (prefix, revision, waitMs) =>
      got
        .post(`${url}/kv/watch`, {
          json: { prefix, revision },
          retry: { limit: 0 },
          timeout: { request: waitMs },
          agent: watchAgent,
        })
        .json<WatchAnswer>()
        .catch((error: unknown) => {
          if (error instanceof TimeoutError) {
            return undefined;
          }
          throw toPlatformError(error, "kv/watch", url);
        }),
    grantLease: async (ttlMs) =>
      (await sendCall<{ leaseId: string }>("lease/grant", { ttlMs })).leaseId,
    renewLease: async (leaseId) =>
      (await sendCall<{ isKept: boolean }>("lease/keep", { leaseId })).isKept,
    listInstances: async () =>
      (await sendCall<{ instances: [] }>("instances", {})).instances,
  };
}

function toPlatformError(
  error: unknown,
  path: string,
  serviceUrl: string,
): PlatformError {
  if (error instanceof HTTPError && error.response.statusCode === 429) {
    const header = error.response.headers["retry-after"];
    const retryAfterMs =
      header === undefined ? DEFAULT_RETRY_AFTER_MS : Number(header) * 1000;
    return new PlatformError(
      { kind: "rate-limited", retryAfterMs },
      path,
      serviceUrl,
    );
  }
  const detail = error instanceof Error ? error.message : String(error);
  return new PlatformError({ kind: "unavailable", detail }, path, serviceUrl);
}
