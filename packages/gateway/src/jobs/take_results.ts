import {
  BATCHES,
  type BatchResult,
  batchKeys,
  type MetadataItem,
} from "@gooseberryline/core";
import { batchRecords } from "./batch_records.ts";

type TakenResults = {
  readonly results: readonly BatchResult[];
  /** Position of the record that ended them, if it could not be read. */
  readonly unreadable: number | undefined;
};

/**
 * Takes the results at `from` and right after it out of a job's records, as many as
 * one response may hold. A record's key, not its place among the others, says at
 * which position it stands.
 */
export function takeResults(
  jobId: string,
  from: number,
  items: readonly MetadataItem[],
): TakenResults {
  const byKey = new Map(items.map((item) => [item.key, item.value]));
  const results: BatchResult[] = [];
  let bytes = 0;
  while (true) {
    const position = from + results.length;
    const value = byKey.get(batchKeys.result(jobId, position));
    bytes += value?.length ?? 0;
    const isFull =
      results.length > 0 && bytes > BATCHES.MAX_RESULTS_RESPONSE_BYTES;
    if (value === undefined || isFull) {
      return { results, unreadable: undefined };
    }
    const result = batchRecords.decodeResult(value);
    if (result === undefined) {
      return { results, unreadable: position };
    }
    results.push(result);
  }
}
