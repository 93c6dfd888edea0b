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
const DRAFT_ENDING = ".part";

/** Keeps peers' files in a folder; each is synced before it counts. */
export class FolderBlobs implements BlobStore {
  readonly #folder: string;
  #draftCount = 0;

  constructor(folder: string) {
    this.#folder = folder;
  }

  async write(name: string, content: AsyncIterable<Buffer>): Promise<number> {
    const path = this.#path(name);
    await mkdir(dirname(path), { recursive: true });
    this.#draftCount += 1;
    const draft = `${path}.${this.#draftCount}${DRAFT_ENDING}`;
    const handle = await open(draft, "w");
    try {
      await writeFile(handle, content);
      await handle.sync();
      const { size } = await handle.stat();
      await rename(draft, path);
      return size;
    } finally {
      await handle.close();
      await rm(draft, { force: true });
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
      .filter((entry) => entry.isFile() && !entry.name.endsWith(DRAFT_ENDING))
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
