import { hashText } from "../shared/hash_text.ts";
import type { Route, RouteTarget } from "./types.ts";

const HASH_RANGE = 2 ** 32;

/**
 * Chooses the service of a request by the weights of its route's targets. All
 * instances choose the same service for the same request id.
 */
export function chooseService(
  route: Route,
  requestId: string,
): string | undefined {
  const total = route.targets.reduce((sum, { weight }) => sum + weight, 0);
  const point = (hashText(requestId) / HASH_RANGE) * total;
  return pickTarget(route.targets, point)?.service;
}

function pickTarget(
  targets: readonly RouteTarget[],
  point: number,
): RouteTarget | undefined {
  const [first, ...rest] = targets;
  if (first === undefined || rest.length === 0 || point < first.weight) {
    return first;
  }
  return pickTarget(rest, point - first.weight);
}
