/** Describes what was thrown, which may be anything. */
export function describeError(error: unknown): string {
  return error instanceof Error ? error.message : String(error);
}
