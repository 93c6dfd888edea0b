/** Jobs whose items run later, as they stand in the metadata store. */

/** One item as its caller sent it. */
export type BatchItem = {
  readonly id: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  /** Base64. */
  readonly body: string;
  /** Prompt and output tokens together. */
  readonly tokens: number;
};

/** What never changes of a job. */
export type BatchJob = {
  readonly id: string;
  readonly customer: string;
  readonly host: string;
  readonly prefix: string;
  /** Unix ms. */
  readonly submittedAtMs: number;
  readonly dueMs: number;
  readonly retentionMs: number;
  readonly maxAttempts: number;
  readonly itemIds: readonly string[];
  /** Index of the first item of each stored chunk. */
  readonly chunkStarts: readonly number[];
};

/** Who runs an open job; the record's revision fences its writes. */
export type BatchClaim = {
  /** Empty until an instance has claimed it. */
  readonly owner: string;
  readonly incarnation: string;
  /** Unix ms. */
  readonly dueAtMs: number;
};

export const ITEM_RESULTS = {
  completed: "completed",
  errored: "errored",
} as const;

export type ItemResultState = (typeof ITEM_RESULTS)[keyof typeof ITEM_RESULTS];

export type BatchResult = {
  readonly id: string;
  readonly state: ItemResultState;
  readonly text: string;
};

/** What an unfinished item has, for an owner that comes after a loss. */
export type BatchText = {
  readonly index: number;
  /** Data of its events so far. */
  readonly texts: readonly string[];
  readonly lastEventId: number;
  /** Time that it has run, in ms. */
  readonly ranMs: number;
};

/** Which items are listed, in the order of their positions. */
export type BatchProgress = {
  readonly listed: readonly number[];
  /** Tells a writer whose answer was lost that the write was its own. */
  readonly writer: string;
};

/** An item that waits to run, or runs. */
export type OrderedItem = {
  readonly index: number;
  /** Unix ms. */
  readonly dueAtMs: number;
  /** Time that it has run so far, in ms. */
  readonly ranMs: number;
};

/** What is known of the present and of items in general. */
export type ItemClock = {
  /** Unix ms. */
  readonly nowMs: number;
  /** Mean time that an item runs, in ms. */
  readonly meanRunMs: number;
  /** Slots that items have on average; undefined before that was measured. */
  readonly slots: number | undefined;
};
