import { createReadStream } from "node:fs";
import {
  mkdir,
  open,
  readdir,
  rename,
  rm,
  stat,
  writeFile,
} from "node:fs/promises";
import { dirname, join, relative } from "node:path";
import type { BlobStore, PeerBlob } from "./types.ts";

const NAME = /^[\w-][\w.-]*(\/[\w-][\w.-]*)*$/;
const TEMP_FILE_SUFFIX = ".part";

/** Stores blobs in a folder; each file is synced before it becomes visible. */
export class FolderBlobs implements BlobStore {
  readonly #folder: string;
  #tempFileCount = 0;

  constructor(folder: string) {
    this.#folder = folder;
  }

  async write(name: string, content: AsyncIterable<Buffer>): Promise<number> {
    const path = this.#path(name);
    await mkdir(dirname(path), { recursive: true });
    this.#tempFileCount += 1;
    const tempPath = `${path}.${this.#tempFileCount}${TEMP_FILE_SUFFIX}`;
    const handle = await open(tempPath, "w");
    try {
      await writeFile(handle, content);
      await handle.sync();
      const { size } = await handle.stat();
      await rename(tempPath, path);
      return size;
    } finally {
      await handle.close();
      await rm(tempPath, { force: true });
    }
  }

  read(name: string): AsyncIterable<Buffer> {
    return createReadStream(this.#path(name));
  }

  async list(prefix: string): Promise<readonly PeerBlob[]> {
    await mkdir(this.#folder, { recursive: true });
    const entries = await readdir(this.#folder, {
      recursive: true,
      withFileTypes: true,
    });
    const paths = entries
      .filter(
        (entry) => entry.isFile() && !entry.name.endsWith(TEMP_FILE_SUFFIX),
      )
      .map((entry) => join(entry.parentPath, entry.name));
    const found = paths
      .map((path) => ({ path, name: relative(this.#folder, path) }))
      .filter(({ name }) => name.startsWith(prefix));
    return Promise.all(
      found.map(async ({ path, name }) => ({
        name,
        bytes: (await stat(path)).size,
      })),
    );
  }

  #path(name: string): string {
    if (!NAME.test(name)) {
      throw new Error(`not a file name: ${JSON.stringify(name)}`);
    }
    return join(this.#folder, name);
  }
}
