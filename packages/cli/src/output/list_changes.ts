/** A difference between two documents. */
export type Change = {
  readonly path: string;
  readonly before: unknown;
  readonly after: unknown;
};

/** Lists the leaf values that differ between two JSON values. */
export function listChanges(
  before: unknown,
  after: unknown,
  path = "",
): readonly Change[] {
  if (!isObject(before) || !isObject(after)) {
    const isSame = JSON.stringify(before) === JSON.stringify(after);
    return isSame ? [] : [{ path, before, after }];
  }
  const keys = [...new Set([...Object.keys(before), ...Object.keys(after)])];
  return keys.flatMap((key) =>
    listChanges(before[key], after[key], path === "" ? key : `${path}.${key}`),
  );
}

function isObject(value: unknown): value is Readonly<Record<string, unknown>> {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}
