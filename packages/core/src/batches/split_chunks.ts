import { BATCHES } from "./constants.ts";
import type { BatchItem } from "./types.ts";

/** Splits a job's items into chunks that each fit into one stored value. */
export function splitChunks(
  items: readonly BatchItem[],
): readonly (readonly BatchItem[])[] {
  const split = items.reduce(
    ({ chunks, bytes }, item) => {
      const size = JSON.stringify(item).length;
      const last = chunks.at(-1);
      if (last === undefined || bytes + size > BATCHES.CHUNK_BYTES) {
        chunks.push([item]);
        return { chunks, bytes: size };
      }
      last.push(item);
      return { chunks, bytes: bytes + size };
    },
    { chunks: [] as BatchItem[][], bytes: 0 },
  );
  return split.chunks;
}
