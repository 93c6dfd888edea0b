/** Throws for a value that an exhaustive switch did not handle. */
export function assertNever(value: never): never {
  throw new Error(`unhandled variant: ${JSON.stringify(value)}`);
}
