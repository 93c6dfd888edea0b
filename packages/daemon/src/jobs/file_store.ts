import { randomUUID } from "node:crypto";
import { createReadStream, type ReadStream } from "node:fs";
import { mkdir, open, readFile, rename, writeFile } from "node:fs/promises";
import { join } from "node:path";
import type { CustomerId } from "@gooseberryline/core";
import type { FileMeta } from "./types.ts";

const MS_PER_SECOND = 1000;

/** Keeps callers' files in the data folder, synced before they count. */
export class FileStore {
  readonly #folder: string;

  constructor(folder: string) {
    this.#folder = folder;
  }

  async add(
    content: Buffer,
    about: {
      readonly customer: CustomerId;
      readonly filename: string;
      readonly purpose: string;
    },
  ): Promise<FileMeta> {
    await mkdir(this.#folder, { recursive: true });
    const id = `file-${randomUUID()}`;
    const meta: FileMeta = {
      id,
      bytes: content.length,
      createdS: Math.floor(Date.now() / MS_PER_SECOND),
      ...about,
    };
    await writeSynced(this.#path(id, "data"), content);
    await writeSynced(this.#path(id, "json"), JSON.stringify(meta));
    return meta;
  }

  /** A customer's file, or undefined where it has none of that id. */
  async find(id: string, customer: CustomerId): Promise<FileMeta | undefined> {
    if (!/^file-[0-9a-f-]+$/.test(id)) {
      return undefined;
    }
    const text = await readFile(this.#path(id, "json"), "utf8").catch(
      () => undefined,
    );
    const meta =
      text === undefined ? undefined : (JSON.parse(text) as FileMeta);
    return meta?.customer === customer ? meta : undefined;
  }

  readContent(id: string): Promise<Buffer> {
    return readFile(this.#path(id, "data"));
  }

  streamContent(id: string): ReadStream {
    return createReadStream(this.#path(id, "data"));
  }

  #path(id: string, ending: string): string {
    return join(this.#folder, `${id}.${ending}`);
  }
}

async function writeSynced(
  path: string,
  content: Buffer | string,
): Promise<void> {
  const draft = `${path}.part`;
  await writeFile(draft, content);
  const handle = await open(draft);
  await handle.sync();
  await handle.close();
  await rename(draft, path);
}
