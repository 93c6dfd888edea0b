import { access, open, readdir, rm } from "node:fs/promises";
import { join } from "node:path";
import { FolderBlobs } from "../peers/folder_blobs.ts";

const DRAFT = /\.part$/;

/** This instance's own files: jobs' inputs, results and outputs. */
export class DataFolder {
  readonly #root: string;
  readonly #blobs: FolderBlobs;

  constructor(root: string) {
    this.#root = root;
    this.#blobs = new FolderBlobs(root);
  }

  /** Removes drafts that a lost process left behind. */
  async open(): Promise<void> {
    const names = await readdir(this.#root, { recursive: true }).catch(
      (): string[] => [],
    );
    const drafts = names.filter((name) => DRAFT.test(name));
    await Promise.all(
      drafts.map((name) => rm(join(this.#root, name), { force: true })),
    );
  }

  /** Writes a file whole; it is synced before it counts. */
  write(name: string, content: AsyncIterable<Buffer>): Promise<number> {
    return this.#blobs.write(name, content);
  }

  read(name: string): AsyncIterable<Buffer> {
    return this.#blobs.read(name);
  }

  async readRange(
    name: string,
    offset: number,
    length: number,
  ): Promise<Buffer> {
    const handle = await open(join(this.#root, name));
    try {
      const { buffer, bytesRead } = await handle.read(
        Buffer.alloc(length),
        0,
        length,
        offset,
      );
      return buffer.subarray(0, bytesRead);
    } finally {
      await handle.close();
    }
  }

  async has(name: string): Promise<boolean> {
    return access(join(this.#root, name)).then(
      () => true,
      () => false,
    );
  }

  /** Names of the files in one folder, in order. */
  async listFolder(folder: string): Promise<readonly string[]> {
    const names = await readdir(join(this.#root, folder)).catch(
      (): string[] => [],
    );
    return names
      .filter((name) => !DRAFT.test(name))
      .toSorted()
      .map((name) => `${folder}/${name}`);
  }

  /** Names of all files whose name begins with `prefix`. */
  async list(prefix: string): Promise<readonly string[]> {
    const found = await this.#blobs.list(prefix);
    return found.map(({ name }) => name);
  }

  async remove(name: string): Promise<void> {
    await rm(join(this.#root, name), { force: true, recursive: true });
  }
}
