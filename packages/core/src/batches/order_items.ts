/** An item that waits to run. */
type WaitingItem = {
  readonly jobId: string;
  readonly index: number;
  readonly dueAtMs: number;
  /** Events that it has already. */
  readonly eventCount: number;
};

/**
 * Orders waiting items: earliest due first, and of a job those that have
 * part of their text first, so that they free their memory soon.
 */
export function orderItems<Item extends WaitingItem>(
  items: readonly Item[],
): readonly Item[] {
  return [...items].sort(
    (a, b) =>
      a.dueAtMs - b.dueAtMs || b.eventCount - a.eventCount || a.index - b.index,
  );
}
