import { serialize } from "node:v8";

/** Returns the size of plain data in V8's serialization format. */
export function measureSerializedBytes(value: unknown): number {
  return serialize(value).length;
}
