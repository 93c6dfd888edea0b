import type { BlockSubject, CrashSuspect } from "@gooseberryline/core";
import { RequestKey } from "../crashes/request_key.ts";

const SUSPECT: CrashSuspect = {
  request: "",
  parts: ["a", "x"],
  customer: "c1",
  hasHead: true,
  hasBegun: false,
  ranMs: 0,
};

function createKey(text: string): RequestKey {
  const body = Buffer.from(text);
  return new RequestKey({ method: "POST", path: "/x", customer: "c1", body });
}

function createSubject(...parts: readonly string[]): BlockSubject {
  return { parts, customer: "c1", hasKey: () => false };
}

/** Requests of tests that are suspected of crashes. */
export const crashRequest = { SUSPECT, createKey, createSubject } as const;
