import { randomUUID } from "node:crypto";
import type { CustomerId, InstanceId } from "@gooseberryline/core";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { FileMeta } from "./types.ts";

const MS_PER_SECOND = 1000;

/** Stores callers' files and replicates them to a second disk on commit. */
export class FileStore {
  readonly #blobs: SharedBlobs;

  constructor(blobs: SharedBlobs) {
    this.#blobs = blobs;
  }

  /** Creates an id for an upload. */
  static createId(): string {
    return `file-${randomUUID()}`;
  }

  /**
   * Streams content to the local disk; `commit` makes it available as a file.
   */
  stage(id: string, content: AsyncIterable<Buffer>): Promise<number> {
    return this.#blobs.folder.write(formatDataName(id), content);
  }

  /** Removes the staged content of an interrupted upload. */
  drop(id: string): Promise<void> {
    return this.#blobs.folder.remove(formatDataName(id));
  }

  /** Commits staged content as a file; resolves once it is replicated. */
  async commit(about: Omit<FileMeta, "createdS">): Promise<{
    readonly meta: FileMeta;
    readonly disks: readonly InstanceId[];
  }> {
    const createdS = Math.floor(Date.now() / MS_PER_SECOND);
    const meta: FileMeta = { ...about, createdS };
    const name = formatMetaName(about.id);
    await this.#blobs.folder.write(name, streamText(JSON.stringify(meta)));
    const disks = await this.#blobs.replicate([formatDataName(about.id), name]);
    return { meta, disks };
  }

  /**
   * Returns a customer's file, or undefined if the customer has none with that
   * id.
   */
  async find(id: string, customer: CustomerId): Promise<FileMeta | undefined> {
    if (!/^file-[0-9a-f-]+$/.test(id)) {
      return undefined;
    }
    const name = formatMetaName(id);
    if (!(await this.#blobs.ensure(name))) {
      return undefined;
    }
    const text = await collectText(this.#blobs.folder.read(name));
    const meta = JSON.parse(text) as FileMeta;
    return meta.customer === customer ? meta : undefined;
  }

  /**
   * Reads a file, fetching it from a peer first if it is not on the local disk.
   */
  async read(id: string): Promise<AsyncIterable<Buffer>> {
    if (!(await this.#blobs.ensure(formatDataName(id)))) {
      throw new Error(`no instance in reach holds ${id}`);
    }
    return this.#blobs.folder.read(formatDataName(id));
  }
}

function formatDataName(id: string): string {
  return `files/${id}.data`;
}

function formatMetaName(id: string): string {
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
