import { PASSING } from "./constants.ts";

/**
 * Leaves out the headers of the link between instances, from alternating names
 * and values.
 */
export function dropPassHeaders(rawHeaders: readonly string[]): string[] {
  return rawHeaders
    .filter((_, index) => index % 2 === 0)
    .map((name, index) => [name, rawHeaders[index * 2 + 1] ?? ""] as const)
    .filter(([name]) => !name.toLowerCase().startsWith(PASSING.HEADER_PREFIX))
    .flat();
}
