import { randomUUID } from "node:crypto";
import type { CustomerId, InstanceId } from "@gooseberryline/core";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { FileMeta } from "./types.ts";

const MS_PER_SECOND = 1000;

/** Keeps callers' files, on two disks before they count. */
export class FileStore {
  readonly #blobs: SharedBlobs;

  constructor(blobs: SharedBlobs) {
    this.#blobs = blobs;
  }

  /** A new id for an upload. */
  static createId(): string {
    return `file-${randomUUID()}`;
  }

  /** Streams content to this disk; without `commit` it is no file yet. */
  stage(id: string, content: AsyncIterable<Buffer>): Promise<number> {
    return this.#blobs.folder.write(nameData(id), content);
  }

  /** Drops staged content of an upload that was cut off. */
  drop(id: string): Promise<void> {
    return this.#blobs.folder.remove(nameData(id));
  }

  /** Makes staged content a file; resolves once it is on its disks. */
  async commit(about: Omit<FileMeta, "createdS">): Promise<{
    readonly meta: FileMeta;
    readonly disks: readonly InstanceId[];
  }> {
    const createdS = Math.floor(Date.now() / MS_PER_SECOND);
    const meta: FileMeta = { ...about, createdS };
    const name = nameMeta(about.id);
    await this.#blobs.folder.write(name, streamText(JSON.stringify(meta)));
    const disks = await this.#blobs.replicate([nameData(about.id), name]);
    return { meta, disks };
  }

  /** A customer's file, or undefined where it has none of that id. */
  async find(id: string, customer: CustomerId): Promise<FileMeta | undefined> {
    if (!/^file-[0-9a-f-]+$/.test(id)) {
      return undefined;
    }
    const name = nameMeta(id);
    if (!(await this.#blobs.ensure(name))) {
      return undefined;
    }
    const text = await collectText(this.#blobs.folder.read(name));
    const meta = JSON.parse(text) as FileMeta;
    return meta.customer === customer ? meta : undefined;
  }

  /** Reads a file, fetched from a peer where this disk lacks it. */
  async read(id: string): Promise<AsyncIterable<Buffer>> {
    if (!(await this.#blobs.ensure(nameData(id)))) {
      throw new Error(`no instance in reach holds ${id}`);
    }
    return this.#blobs.folder.read(nameData(id));
  }
}

function nameData(id: string): string {
  return `files/${id}.data`;
}

function nameMeta(id: string): string {
  return `files/${id}.json`;
}

async function* streamText(text: string): AsyncIterable<Buffer> {
  yield Buffer.from(text);
}

async function collectText(content: AsyncIterable<Buffer>): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of content) {
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString();
}
