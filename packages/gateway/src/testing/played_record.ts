import type { MetadataChanges, MetadataPage } from "@gooseberryline/core";

const KEY = "a/config";
const NO_BYTES = Buffer.alloc(0);

/** One record of a store, with the watches that wait for its next change. */
export class PlayedRecord {
  readonly #waiting = new Set<() => void>();
  #revision = 0;

  write(): void {
    this.#revision += 1;
    this.#waiting.forEach((wake) => {
      wake();
    });
    this.#waiting.clear();
  }

  list(): MetadataPage {
    const items = [this.#getItem()];
    const storeRevision = this.#revision;
    return { kind: "page", items, hasMore: false, storeRevision };
  }

  async watch(after: number, watchMs: number): Promise<MetadataChanges> {
    if (this.#revision <= after) {
      await new Promise<void>((resolve) => {
        this.#waiting.add(resolve);
        setTimeout(resolve, watchMs);
      });
    }
    const isNew = this.#revision > after;
    const events = isNew
      ? [{ kind: "set", item: this.#getItem() } as const]
      : [];
    return { kind: "changes", events, storeRevision: this.#revision };
  }

  #getItem() {
    return { key: KEY, value: NO_BYTES, revision: this.#revision };
  }
}
