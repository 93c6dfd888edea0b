import {
  chooseDisks,
  type InstanceId,
  type InstanceState,
} from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { DataFolder } from "./data_folder.ts";
import type { BlobPeers } from "./types.ts";

const COPIES = 2;
const PUT_TIMEOUT_MS = 30_000;

/** What the files of several instances are reached through. */
export type SharedBlobsParts = {
  readonly folder: DataFolder;
  readonly peers: BlobPeers;
  readonly readState: () => InstanceState;
  readonly log: Log;
};

/** Files on this disk and on peers'; none changes once it is written. */
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
  async put(
    to: InstanceId,
    name: string,
    {
      content,
      limitMs = PUT_TIMEOUT_MS,
    }: {
      readonly content: () => AsyncIterable<Buffer>;
      /** A peer that takes longer has failed. */
      readonly limitMs?: number;
    },
  ): Promise<void> {
    if (to === this.ownId) {
      await this.folder.write(name, content());
      return;
    }
    await waitAtMost(this.#parts.peers.put(to, name, content()), limitMs);
  }

  /**
   * Copies own files to a second disk, trying others where one fails.
   * Resolves with the disks that hold them all; rejects where none does.
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
    if (disks.length < COPIES) {
      log.warn("single-copy", { step: "store", file: key });
    }
    return disks;
  }

  /** Makes sure that this instance has a file, fetching it if need be. */
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

  /** Reads the files of a folder at one instance, one after the other. */
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

  /** Instances that may hold files, the given ones first. */
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
        await this.put(to, name, { content: () => this.folder.read(name) });
      }, Promise.resolve());
      return undefined;
    } catch {
      return to;
    }
  }
}

async function waitAtMost<Value>(
  work: Promise<Value>,
  limitMs: number,
): Promise<Value> {
  const control: { timer: NodeJS.Timeout | undefined } = { timer: undefined };
  const late = new Promise<never>((_, reject) => {
    control.timer = setTimeout(
      () => reject(new Error("the peer's disk is silent")),
      limitMs,
    );
  });
  return Promise.race([work, late]).finally(() => clearTimeout(control.timer));
}
