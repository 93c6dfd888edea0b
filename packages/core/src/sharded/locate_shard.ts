import { SHARD_COUNT } from "./constants.ts";

const LAST = -1;
const SECOND_LAST = -2;
const THIRD_LAST = -3;

/** Computes an id's shard index from its last characters, which vary most. */
export function locateShard(id: string): number {
  const sum =
    readCharCode(id, LAST) * 31 +
    readCharCode(id, SECOND_LAST) * 7 +
    readCharCode(id, THIRD_LAST);
  return sum & (SHARD_COUNT - 1);
}

function readCharCode(id: string, offset: number): number {
  const index = id.length + offset;
  return index < 0 ? 0 : id.charCodeAt(index);
}
