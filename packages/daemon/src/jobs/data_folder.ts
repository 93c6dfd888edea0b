import { access, open, readdir, rm } from "node:fs/promises";
import { join } from "node:path";
import { FolderBlobs } from "../peers/folder_blobs.ts";

const TEMP_FILE_PATTERN = /\.part$/;

/** Local data folder with the inputs, results and outputs of jobs. */
export class DataFolder {
  readonly #root: string;
  readonly #blobs: FolderBlobs;

  constructor(root: string) {
    this.#root = root;
    this.#blobs = new FolderBlobs(root);
  }

  /** Removes temporary files left behind by a crashed process. */
  async open(): Promise<void> {
    const names = await readdir(this.#root, { recursive: true }).catch(
      (): string[] => [],
    );
    const tempFiles = names.filter((name) => TEMP_FILE_PATTERN.test(name));
    await Promise.all(
      tempFiles.map((name) => rm(join(this.#root, name), { force: true })),
    );
  }

  /** Writes a file atomically: it is synced before it becomes visible. */
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

  /** Lists the names of the files in one folder, sorted. */
  async listFolder(folder: string): Promise<readonly string[]> {
    const names = await readdir(join(this.#root, folder)).catch(
      (): string[] => [],
    );
    return names
      .filter((name) => !TEMP_FILE_PATTERN.test(name))
      .toSorted()
      .map((name) => `${folder}/${name}`);
  }

  /** Lists the names of all files that start with `prefix`. */
  async list(prefix: string): Promise<readonly string[]> {
    const found = await this.#blobs.list(prefix);
    return found.map(({ name }) => name);
  }

  async remove(name: string): Promise<void> {
    await rm(join(this.#root, name), { force: true, recursive: true });
  }
}
