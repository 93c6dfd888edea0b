/** Shapes that every feature of the core shares. */

/** A string that only its own kind of id can stand in for. */
export type Brand<Name extends string> = string & { readonly __brand: Name };

/** A read-only collection keyed by id; plain data, so it prints as JSON. */
export type Table<Value> = Readonly<Record<string, Value>>;
