import type { RouteCustomer } from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import { callErrors } from "./call_errors.ts";
import type { CallError } from "./types.ts";

/**
 * Takes a token of a customer's rate limit; returns an error where none is
 * left.
 */
export function admitCustomer(
  view: FleetView,
  customer: RouteCustomer | undefined,
): CallError | undefined {
  if (customer === undefined) {
    return undefined;
  }
  const taken = view.quotas.take(customer.name, customer, view.readNowMs());
  return taken.kind === "over"
    ? callErrors.rateLimited(taken.freeInMs)
    : undefined;
}
