import {
  chooseDisks,
  type InstanceId,
  type InstanceState,
} from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { DataFolder } from "./data_folder.ts";
import type { BlobPeers } from "./types.ts";

const COPY_COUNT = 2;
const WRITE_TIMEOUT_MS = 30_000;

/** Dependencies of `SharedBlobs`. */
export type SharedBlobsParts = {
  readonly folder: DataFolder;
  readonly peers: BlobPeers;
  readonly readState: () => InstanceState;
  readonly log: Log;
};

/** Access to immutable files on the local disk and on the disks of peers. */
export class SharedBlobs {
  readonly folder: DataFolder;
  readonly #parts: SharedBlobsParts;
  readonly #fetching = new Map<string, Promise<boolean>>();

  constructor(parts: SharedBlobsParts) {
    this.#parts = parts;
    this.folder = parts.folder;
  }

  get ownId(): InstanceId {
    return this.#parts.readState().self.instanceId;
  }

  /** Writes a file to one instance's disk. */
  async write(
    to: InstanceId,
    name: string,
    {
      content,
      timeoutMs = WRITE_TIMEOUT_MS,
    }: {
      readonly content: () => AsyncIterable<Buffer>;
      /** Timeout after which the write to the peer counts as failed. */
      readonly timeoutMs?: number;
    },
  ): Promise<void> {
    if (to === this.ownId) {
      await this.folder.write(name, content());
      return;
    }
    await waitWithTimeout(
      this.#parts.peers.write(to, name, content()),
      timeoutMs,
    );
  }

  /**
   * Copies local files to a second disk and tries other disks on failure.
   * Resolves with the disks that hold all of them; rejects if no disk does.
   */
  async replicate(
    names: readonly string[],
    avoid: readonly InstanceId[] = [],
  ): Promise<readonly InstanceId[]> {
    const { readState, log } = this.#parts;
    const key = names[0] ?? "";
    const disks = chooseDisks(readState(), key, { nowMs: Date.now(), avoid });
    const others = disks.filter((id) => id !== this.ownId);
    const failed = (
      await Promise.all(others.map((id) => this.#copyAll(id, names)))
    ).filter((id) => id !== undefined);
    if (failed.length > 0) {
      log.warn("copy-failed", { step: "store", peer: failed.join(",") });
      return this.replicate(names, [...avoid, ...failed]);
    }
    if (disks.length === 0) {
      throw new Error("no disk is reachable");
    }
    if (disks.length < COPY_COUNT) {
      log.warn("single-copy", { step: "store", file: key });
    }
    return disks;
  }

  /**
   * Fetches a file from a peer unless it is on the local disk; resolves with
   * whether the local disk has it now.
   */
  ensure(name: string): Promise<boolean> {
    const fetching = this.#fetching.get(name);
    if (fetching !== undefined) {
      return fetching;
    }
    const started = this.#ensure(name).finally(() => {
      this.#fetching.delete(name);
    });
    this.#fetching.set(name, started);
    return started;
  }

  /** Reads the files of a folder on one instance sequentially. */
  async *readFolder(at: InstanceId, folder: string): AsyncIterable<Buffer> {
    const isOwn = at === this.ownId;
    const names = isOwn
      ? await this.folder.listFolder(folder)
      : (await this.#parts.peers.list(at, `${folder}/`))
          .map(({ name }) => name)
          .toSorted();
    for await (const name of names) {
      yield* isOwn ? this.folder.read(name) : this.#parts.peers.get(at, name);
    }
  }

  /** Lists instances that may hold files, starting with the given ones. */
  listHolders(first: readonly InstanceId[]): readonly InstanceId[] {
    const { members } = this.#parts.readState().membership;
    const others = Object.values(members)
      .filter(({ hasDisk }) => hasDisk)
      .map(({ instanceId }) => instanceId);
    const own = first.includes(this.ownId) ? [this.ownId] : [];
    return [...new Set([...own, ...first, this.ownId, ...others])];
  }

  async #ensure(name: string): Promise<boolean> {
    if (await this.folder.has(name)) {
      return true;
    }
    const holders = this.listHolders([]).filter((id) => id !== this.ownId);
    return holders.reduce<Promise<boolean>>(
      async (found, id) => (await found) || this.#fetch(id, name),
      Promise.resolve(false),
    );
  }

  async #fetch(from: InstanceId, name: string): Promise<boolean> {
    const content = this.#parts.peers.get(from, name);
    return this.folder.write(name, content).then(
      () => true,
      () => false,
    );
  }

  async #copyAll(
    to: InstanceId,
    names: readonly string[],
  ): Promise<InstanceId | undefined> {
    try {
      await names.reduce(async (before, name) => {
        await before;
        await this.write(to, name, { content: () => this.folder.read(name) });
      }, Promise.resolve());
      return undefined;
    } catch {
      return to;
    }
  }
}

async function waitWithTimeout<Value>(
  work: Promise<Value>,
  limitMs: number,
): Promise<Value> {
  const control: { timer: NodeJS.Timeout | undefined } = { timer: undefined };
  const timedOut = new Promise<never>((_, reject) => {
    control.timer = setTimeout(
      () => reject(new Error("write to the peer's disk timed out")),
      limitMs,
    );
  });
  return Promise.race([work, timedOut]).finally(() =>
    clearTimeout(control.timer),
  );
}
