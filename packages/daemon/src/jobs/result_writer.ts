import type { InstanceId } from "@gooseberryline/core";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { StoredResult } from "./types.ts";

const GROUP_INTERVAL_MS = 250;
const RETRY_DELAY_MS = 200;
const WRITE_TIMEOUT_MS = 3_000;
const NUMBER_DIGITS = 6;

type Entry = {
  readonly text: string;
  /**
   * Called with the failed disk, or with undefined once all disks have the
   * entry.
   */
  readonly settle: (failed: InstanceId | undefined) => void;
};

type Pending = {
  readonly disks: readonly InstanceId[];
  readonly entries: Entry[];
  count: number;
  isWriting: boolean;
};

/**
 * Writes results in groups: all results received since the last group are
 * written to each disk as one numbered file, which is synced before it counts.
 */
export class ResultWriter {
  readonly #blobs: SharedBlobs;
  readonly #pending = new Map<string, Pending>();

  constructor(blobs: SharedBlobs) {
    this.#blobs = blobs;
  }

  /**
   * Resolves with the failed disk, or with undefined once the result is stored.
   */
  append(
    blobId: string,
    disks: readonly InstanceId[],
    result: StoredResult,
  ): Promise<InstanceId | undefined> {
    const known = this.#pending.get(blobId);
    const pending = known ?? { disks, entries: [], count: 0, isWriting: false };
    this.#pending.set(blobId, pending);
    return new Promise((settle) => {
      pending.entries.push({ text: `${JSON.stringify(result)}\n`, settle });
      void this.#write(blobId, pending);
    });
  }

  /** Discards the pending writes of an ended job. */
  drop(prefix: string): void {
    [...this.#pending.keys()]
      .filter((blobId) => blobId.startsWith(prefix))
      .forEach((blobId) => {
        this.#pending.delete(blobId);
      });
  }

  async #write(blobId: string, pending: Pending): Promise<void> {
    if (pending.isWriting || pending.entries.length === 0) {
      return;
    }
    pending.isWriting = true;
    const group = pending.entries.splice(0);
    const number = String(pending.count).padStart(NUMBER_DIGITS, "0");
    pending.count += 1;
    const content = Buffer.from(group.map(({ text }) => text).join(""));
    const failed = await this.#writeAll(`results/${blobId}/${number}`, {
      disks: pending.disks,
      content,
    });
    if (failed !== undefined) {
      await wait(RETRY_DELAY_MS);
    }
    group.forEach(({ settle }) => {
      settle(failed);
    });
    await wait(GROUP_INTERVAL_MS);
    pending.isWriting = false;
    await this.#write(blobId, pending);
  }

  async #writeAll(
    name: string,
    {
      disks,
      content,
    }: { readonly disks: readonly InstanceId[]; readonly content: Buffer },
  ): Promise<InstanceId | undefined> {
    const about = {
      content: () => streamOne(content),
      limitMs: WRITE_TIMEOUT_MS,
    };
    const failures = await Promise.all(
      disks.map((id) =>
        this.#blobs.write(id, name, about).then(
          () => undefined,
          () => id,
        ),
      ),
    );
    return disks.length === 0
      ? ("" as InstanceId)
      : failures.find((id) => id !== undefined);
  }
}

async function* streamOne(content: Buffer): AsyncIterable<Buffer> {
  yield content;
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, delayMs).unref();
  });
}
