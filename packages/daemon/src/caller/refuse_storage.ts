import { HttpRefusal } from "./http_refusal.ts";

/** Throws a refusal because no reachable disk can store or return a file. */
export function refuseStorage(): never {
  throw new HttpRefusal(503, "no disk in reach can take or give the file", {
    code: "store_unavailable",
    step: "store",
  });
}
