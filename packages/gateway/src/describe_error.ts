import { inspect } from "node:util";

/** Describes what was thrown, which may be anything. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : inspect(error);
}
