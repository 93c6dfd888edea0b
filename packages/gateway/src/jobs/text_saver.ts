import {
  BATCHES,
  batchKeys,
  chooseTextsToSave,
  type EventLog,
  type MetadataStore,
  type PartialItemText,
} from "@gooseberryline/core";
import { runSlowStep } from "../steps/run_slow_step.ts";
import { waitMs } from "../wait_ms.ts";
import { batchRecords } from "./batch_records.ts";
import type { OwnedJob } from "./owned_job.ts";
import type { WaitingItem } from "./types.ts";

type SaverParts = {
  readonly store: MetadataStore;
  readonly log: EventLog;
  readonly listItemsWithText: () => readonly WaitingItem[];
  readonly getOwned: (jobId: string) => OwnedJob | undefined;
  readonly countWorkers: () => number;
  /** Called with the jobs of a write if the claim of one of them has changed. */
  readonly onConflict: (jobIds: readonly string[]) => void;
};

type OwnedText = {
  readonly jobId: string;
  readonly key: string;
  readonly events: number;
  readonly savedEvents: number;
  readonly bytes: number;
  readonly item: WaitingItem;
  readonly owned: OwnedJob;
};

/**
 * Saves the partial output of unfinished items periodically, so that only the
 * last seconds of a run are repeated if the owner fails. Writes are conditional
 * on the claims of their jobs. A failed write is not retried, as its texts are
 * due again in the next one.
 */
export class TextSaver {
  readonly #parts: SaverParts;
  /** Number of events saved of each item, by its key. */
  readonly #savedEvents = new Map<string, number>();
  #isStopped = false;

  constructor(parts: SaverParts) {
    this.#parts = parts;
  }

  start(): void {
    void this.#follow();
  }

  stop(): void {
    this.#isStopped = true;
  }

  /** Saves all unsaved text, before the jobs are released. */
  async persistAll(): Promise<void> {
    if ((await this.#persist(1)) > 0) {
      await this.persistAll();
    }
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      const workersMs =
        this.#parts.countWorkers() * BATCHES.SAVE_INTERVAL_PER_WORKER_MS;
      await waitMs(Math.max(BATCHES.SAVE_INTERVAL_MS, workersMs));
      await runSlowStep(this.#parts.log, { step: "save-texts" }, () =>
        this.#persist(BATCHES.MIN_UNSAVED_EVENTS),
      );
    }
  }

  /** Returns the number of texts saved; 0 also where the write failed. */
  async #persist(minEvents: number): Promise<number> {
    const texts = this.#listOwnedTexts();
    this.#dropStale(texts);
    const chosen = chooseTextsToSave(texts, minEvents);
    if (chosen.length === 0) {
      return 0;
    }
    chosen.forEach(({ owned, item }) => {
      owned.recordSavedText(item.index);
    });
    const owners = new Set(chosen.map(({ owned }) => owned));
    const outcome = await this.#parts.store.commit({
      expect: [...owners].map(({ loaded }) => ({
        key: batchKeys.claim(loaded.job.id),
        revision: loaded.claimRevision,
      })),
      set: chosen.map(({ key, item }) => ({ key, value: encodeText(item) })),
      remove: [],
    });
    if (outcome.kind !== "committed") {
      this.#parts.log.info("texts-not-saved", { kind: outcome.kind });
      if (outcome.kind === "conflict") {
        this.#parts.onConflict([...owners].map(({ loaded }) => loaded.job.id));
      }
      return 0;
    }
    chosen.forEach(({ key, events }) => {
      this.#savedEvents.set(key, events);
    });
    return chosen.length;
  }

  #listOwnedTexts(): readonly OwnedText[] {
    return this.#parts.listItemsWithText().flatMap((item) => {
      const owned = this.#parts.getOwned(item.jobId);
      return owned === undefined ? [] : [this.#describe(item, owned)];
    });
  }

  #describe(item: WaitingItem, owned: OwnedJob): OwnedText {
    const { jobId, index, text } = item;
    const { texts } = text;
    const key = batchKeys.text(jobId, index);
    // Text that was loaded with the job is already in the store.
    const loadedEvents = owned.loaded.texts.get(index)?.texts.length ?? 0;
    const savedEvents = this.#savedEvents.get(key) ?? loadedEvents;
    const events = texts.length;
    const bytes = texts.reduce((sum, { length }) => sum + length, 0);
    return { jobId, key, events, savedEvents, bytes, item, owned };
  }

  #dropStale(texts: readonly OwnedText[]): void {
    const currentKeys = new Set(texts.map(({ key }) => key));
    [...this.#savedEvents.keys()]
      .filter((key) => !currentKeys.has(key))
      .forEach((key) => {
        this.#savedEvents.delete(key);
      });
  }
}

function encodeText({ index, text, ranMs }: WaitingItem): Buffer {
  const { texts, lastEventId = 0, origin } = text;
  const record = { index, texts, lastEventId, origin, ranMs };
  return batchRecords.encode(record satisfies PartialItemText);
}
