import { SHARD_COUNT } from "./constants.ts";

const LAST = -1;
const SECOND_LAST = -2;
const THIRD_LAST = -3;

/** Locates an id's shard by its last characters, which differ the most. */
export function locateShard(id: string): number {
  const sum =
    readCode(id, LAST) * 31 +
    readCode(id, SECOND_LAST) * 7 +
    readCode(id, THIRD_LAST);
  return sum & (SHARD_COUNT - 1);
}

function readCode(id: string, place: number): number {
  const at = id.length + place;
  return at < 0 ? 0 : id.charCodeAt(at);
}
