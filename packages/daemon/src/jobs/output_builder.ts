import { createHash } from "node:crypto";
import {
  type EndedSegment,
  type InstanceId,
  type JobId,
  type JobOutput,
  type JobSpec,
  listOffsets,
  type SegmentPart,
} from "@gooseberryline/core";
import type { FileStore } from "./file_store.ts";
import { readLines } from "./read_lines.ts";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { StoredResult } from "./types.ts";

const ID_CHARS = 32;
const MAX_RESULT_BYTES = 67_108_864;

type Counts = { completed: number; failed: number };

/** Builds a job's output and error files from its item results. */
export class OutputBuilder {
  readonly #blobs: SharedBlobs;
  readonly #files: FileStore;

  constructor(blobs: SharedBlobs, files: FileStore) {
    this.#blobs = blobs;
    this.#files = files;
  }

  /** Derives a job file's id, which is the same on every instance. */
  static computeFileId(jobId: JobId, kind: "output" | "error"): string {
    const text = `${jobId}\n${kind}`;
    const hash = createHash("sha256").update(text).digest("hex");
    return `file-${hash.slice(0, ID_CHARS)}`;
  }

  /** Builds the files; rejects if a result is currently unreadable. */
  async build(
    spec: JobSpec,
    segments: readonly EndedSegment[],
  ): Promise<JobOutput> {
    const counts: Counts = { completed: 0, failed: 0 };
    const disks = await this.#buildFile("output", spec, { segments, counts });
    const errorDisks =
      counts.failed === 0
        ? []
        : await this.#buildFile("error", spec, {
            segments,
            counts: { completed: 0, failed: 0 },
          });
    const all = [...new Set([...disks, ...errorDisks])];
    return { ...counts, disks: all, endedMs: Date.now() };
  }

  async #buildFile(
    kind: "output" | "error",
    spec: JobSpec,
    about: {
      readonly segments: readonly EndedSegment[];
      readonly counts: Counts;
    },
  ): Promise<readonly InstanceId[]> {
    const id = OutputBuilder.computeFileId(spec.jobId, kind);
    const bytes = await this.#files.stage(id, this.#streamLines(kind, about));
    const { disks } = await this.#files.commit({
      id,
      customer: spec.customer,
      bytes,
      filename: `${spec.jobId}_${kind}.jsonl`,
      purpose: "batch_output",
    });
    return disks;
  }

  async *#streamLines(
    kind: "output" | "error",
    {
      segments,
      counts,
    }: { readonly segments: readonly EndedSegment[]; readonly counts: Counts },
  ): AsyncIterable<Buffer> {
    for await (const segment of segments) {
      const results = await this.#readSegment(segment);
      const failed = results.filter(({ isFailed }) => isFailed).length;
      counts.failed += failed;
      counts.completed += results.length - failed;
      const wanted = results.filter(
        ({ isFailed }) => isFailed === (kind === "error"),
      );
      const text = wanted.map(({ line }) => `${JSON.stringify(line)}\n`);
      yield Buffer.from(text.join(""));
    }
  }

  async #readSegment({
    first,
    parts,
  }: EndedSegment): Promise<readonly StoredResult[]> {
    const read = await Promise.all(
      parts.map((part) => this.#readPart(first, part)),
    );
    return read.flat().toSorted((a, b) => a.index - b.index);
  }

  /**
   * Reads the completed results of a part, trying each disk until all are
   * found.
   */
  async #readPart(
    first: number,
    { blobId, disks, done }: SegmentPart,
  ): Promise<readonly StoredResult[]> {
    const wanted = new Set(listOffsets(done).map((offset) => first + offset));
    const found = new Map<number, StoredResult>();
    const holders = this.#blobs.listHolders(disks);
    await holders.reduce(async (before, id) => {
      await before;
      if (found.size < wanted.size) {
        await this.#collect(id, blobId, { wanted, found });
      }
    }, Promise.resolve());
    if (found.size < wanted.size) {
      const missing = wanted.size - found.size;
      throw new Error(`${missing} results of ${blobId} can't be read now`);
    }
    return [...found.values()];
  }

  async #collect(
    at: InstanceId,
    blobId: string,
    {
      wanted,
      found,
    }: {
      readonly wanted: ReadonlySet<number>;
      readonly found: Map<number, StoredResult>;
    },
  ): Promise<void> {
    try {
      const content = this.#blobs.readFolder(at, `results/${blobId}`);
      for await (const { bytes } of readLines(content, MAX_RESULT_BYTES)) {
        const result = JSON.parse(bytes.toString()) as StoredResult;
        if (wanted.has(result.index)) {
          found.set(result.index, result);
        }
      }
    } catch {
      // Another disk may hold a copy; if none does, `#readPart` throws.
    }
  }
}
