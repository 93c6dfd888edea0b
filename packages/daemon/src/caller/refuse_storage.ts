import { HttpRefusal } from "./http_refusal.ts";

/** Refuses a call since no disk in reach can take or give a file. */
export function refuseStorage(): never {
  throw new HttpRefusal(503, "no disk in reach can take or give the file", {
    code: "store_unavailable",
    step: "store",
  });
}
