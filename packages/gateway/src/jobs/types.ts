/** Types of the items that a worker runs. */
import type {
  BatchItem,
  RequestTokens,
  StreamOrigin,
} from "@gooseberryline/core";
import type { LastConnection } from "../exchange/last_connection.ts";

/** Partial output of an item: texts of the events received completely. */
export type ItemText = {
  readonly texts: readonly string[];
  readonly lastEventId: number | undefined;
  /** What wrote them, which alone may go on; undefined if nothing is known. */
  readonly origin?: StreamOrigin | undefined;
};

/** An item that waits for an upstream. */
export type WaitingItem = {
  readonly jobId: string;
  readonly index: number;
  readonly dueAtMs: number;
  /** Total time that it has run so far, as at a usual upstream, in ms. */
  readonly ranMs: number;
  readonly item: BatchItem;
  /** Ids of the prompt parts that other requests may share. */
  readonly promptParts: readonly string[];
  /** Its size by its headers; undefined if they don't tell. */
  readonly size?: RequestTokens | undefined;
  readonly text: ItemText;
  /** Runs that an upstream answered with an error status. */
  readonly failures: number;
  /** Upstreams to avoid in the next attempt. */
  readonly tried: ReadonlySet<string>;
  /** Shared by all of its runs; undefined for one that is only placed. */
  readonly lastConnection?: LastConnection | undefined;
  /** Earliest start, on the monotonic clock. */
  readonly notBeforeMs: number;
};

/** How a run of an item ended, with its partial output. */
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
    }
  /** No message could be built for it. */
  | {
      readonly kind: "unbuilt";
      readonly reason: string;
      readonly text: ItemText;
    };
