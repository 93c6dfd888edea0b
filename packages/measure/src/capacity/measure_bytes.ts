import { serialize } from "node:v8";

/** Size of plain data in memory's own format, bytes. */
export function measureBytes(value: unknown): number {
  return serialize(value).length;
}
