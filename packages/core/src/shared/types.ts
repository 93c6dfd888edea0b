/** Types shared by all features of the core. */

/** Branded string type; different brands are not assignable to each other. */
export type Brand<Name extends string> = string & { readonly __brand: Name };

/** Read-only record keyed by id; plain data that can be serialized as JSON. */
export type Table<Value> = Readonly<Record<string, Value>>;
