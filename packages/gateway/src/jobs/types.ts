/** A job's items on their way through a worker. */
import type { BatchItem } from "@gooseberryline/core";

/** What an item has so far: texts of the events up to the last whole one. */
export type ItemText = {
  readonly texts: readonly string[];
  readonly lastEventId: number | undefined;
};

/** An item that waits for an upstream. */
export type WaitingItem = {
  readonly jobId: string;
  readonly index: number;
  readonly dueAtMs: number;
  /** Time that it has run so far, in ms. */
  readonly ranMs: number;
  readonly item: BatchItem;
  readonly text: ItemText;
  /** Runs that an upstream answered with a failure. */
  readonly failures: number;
  /** Upstreams to be passed over at the next try. */
  readonly tried: ReadonlySet<string>;
  /** Earliest start, on the steady clock. */
  readonly notBeforeMs: number;
};

/** How a run of an item ended, with the text that it has by then. */
export type ItemRunEnd =
  | { readonly kind: "completed"; readonly text: ItemText }
  | {
      readonly kind: "status";
      readonly status: number;
      readonly text: ItemText;
    }
  | {
      readonly kind: "interrupted";
      readonly reason: string;
      readonly text: ItemText;
    };
