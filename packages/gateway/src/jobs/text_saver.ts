import {
  BATCHES,
  type BatchText,
  batchKeys,
  chooseTexts,
  type EventLog,
  type MetadataStore,
} from "@gooseberryline/core";
import { waitMs } from "../wait_ms.ts";
import { batchRecords } from "./batch_records.ts";
import type { OwnedJob } from "./owned_job.ts";
import type { WaitingItem } from "./types.ts";

type SaverParts = {
  readonly store: MetadataStore;
  readonly log: EventLog;
  readonly listTexts: () => readonly WaitingItem[];
  readonly getOwned: (jobId: string) => OwnedJob | undefined;
  readonly countWorkers: () => number;
};

type OwnText = {
  readonly jobId: string;
  readonly key: string;
  readonly events: number;
  readonly savedEvents: number;
  readonly bytes: number;
  readonly item: WaitingItem;
  readonly owned: OwnedJob;
};

/**
 * Saves the texts of unfinished items now and then, so that an owner's loss
 * costs the last seconds of its items, not all of their runs. A write holds
 * only under the claims of its jobs; one that fails is made up for later.
 */
export class TextSaver {
  readonly #parts: SaverParts;
  /** Events that the store has of an item, by its key. */
  readonly #saved = new Map<string, number>();
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

  /** Saves all that there is, before the jobs are handed on. */
  async saveAll(): Promise<void> {
    if ((await this.#save(1)) > 0) {
      await this.saveAll();
    }
  }

  async #follow(): Promise<void> {
    while (!this.#isStopped) {
      const workersMs = this.#parts.countWorkers() * BATCHES.SAVE_WORKER_MS;
      await waitMs(Math.max(BATCHES.SAVE_MS, workersMs));
      await this.#save(BATCHES.SAVE_EVENTS);
    }
  }

  /** Number of texts saved; 0 also where the store took none. */
  async #save(minEvents: number): Promise<number> {
    const texts = this.#listTexts();
    this.#forgetOthers(texts);
    const chosen = chooseTexts(texts, minEvents);
    if (chosen.length === 0) {
      return 0;
    }
    chosen.forEach(({ owned, item }) => {
      owned.noteSave(item.index);
    });
    const owners = new Set(chosen.map(({ owned }) => owned));
    const done = await this.#parts.store.commit({
      expect: [...owners].map(({ loaded }) => ({
        key: batchKeys.claim(loaded.job.id),
        revision: loaded.claimRevision,
      })),
      set: chosen.map(({ key, item }) => ({ key, value: encodeText(item) })),
      remove: [],
    });
    if (done.kind !== "committed") {
      this.#parts.log.info("texts-not-saved", { kind: done.kind });
      return 0;
    }
    chosen.forEach(({ key, events }) => {
      this.#saved.set(key, events);
    });
    return chosen.length;
  }

  #listTexts(): readonly OwnText[] {
    return this.#parts.listTexts().flatMap((item) => {
      const owned = this.#parts.getOwned(item.jobId);
      return owned === undefined ? [] : [this.#describe(item, owned)];
    });
  }

  #describe(item: WaitingItem, owned: OwnedJob): OwnText {
    const { jobId, index, text } = item;
    const { texts } = text;
    const key = batchKeys.text(jobId, index);
    // What was loaded with the job stands already.
    const loaded = owned.loaded.texts.get(index)?.texts.length ?? 0;
    const savedEvents = this.#saved.get(key) ?? loaded;
    const events = texts.length;
    const bytes = texts.reduce((sum, { length }) => sum + length, 0);
    return { jobId, key, events, savedEvents, bytes, item, owned };
  }

  #forgetOthers(texts: readonly OwnText[]): void {
    const keys = new Set(texts.map(({ key }) => key));
    [...this.#saved.keys()]
      .filter((key) => !keys.has(key))
      .forEach((key) => {
        this.#saved.delete(key);
      });
  }
}

function encodeText({ index, text, ranMs }: WaitingItem): Buffer {
  const { texts, lastEventId = 0 } = text;
  const record: BatchText = { index, texts, lastEventId, ranMs };
  return batchRecords.encode(record);
}
