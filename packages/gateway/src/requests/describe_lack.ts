import { assertNever } from "@gooseberryline/core";
import type { Target } from "./choose_target.ts";
import { REQUESTS } from "./constants.ts";
import type { RequestOrigin } from "./request_origin.ts";

type Lack = {
  readonly reason: string;
  /** When there may be an upstream, in ms. */
  readonly freeInMs: number;
};

/** Says why a request is sent nowhere, and when that may change. */
export function describeLack(
  target: Exclude<Target, { readonly kind: "placed" | "peer" }>,
  origin: Pick<RequestOrigin, "describeLack">,
): Lack {
  const freeInMs = REQUESTS.NO_UPSTREAM_RETRY_MS;
  switch (target.kind) {
    case "cut-off":
      return { reason: REQUESTS.NO_PATH, freeInMs };
    case "full":
      return { reason: "every upstream is full", freeInMs: target.freeInMs };
    case "none":
      return { reason: origin.describeLack(), freeInMs };
    default:
      return assertNever(target);
  }
}
