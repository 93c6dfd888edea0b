import type {
  EndedSegment,
  InstanceId,
  ItemResult,
  JobId,
} from "@gooseberryline/core";
import { listOffsets } from "@gooseberryline/core";
import type { StoredLine } from "./types.ts";

type Disk = Map<string, Map<number, StoredLine>>;

/** Simulates the instances' disks, which persist across restarts. */
export class VirtualDisks {
  readonly #disks = new Map<InstanceId, Disk>();

  /** Writes a result to a file on an instance's disk. */
  writeResult(
    id: InstanceId,
    blobId: string,
    line: { readonly index: number; readonly result: ItemResult },
  ): void {
    const disk = this.#disks.get(id) ?? new Map();
    const file = disk.get(blobId) ?? new Map();
    file.set(line.index, line);
    disk.set(blobId, file);
    this.#disks.set(id, disk);
  }

  /** Deletes the result files of a finished job from an instance's disk. */
  drop(id: InstanceId, jobId: JobId): void {
    const disk = this.#disks.get(id) ?? new Map();
    [...disk.keys()]
      .filter((blobId) => blobId.startsWith(`${jobId}.`))
      .forEach((blobId) => {
        disk.delete(blobId);
      });
  }

  /** Deletes all contents of an instance's disk, as a disk failure does. */
  dropDisk(id: InstanceId): void {
    this.#disks.delete(id);
  }

  /** Reads the results of ended segments; undefined if one is unreadable. */
  collectResults(
    segments: readonly EndedSegment[],
    canRead: (id: InstanceId) => boolean,
  ): readonly StoredLine[] | undefined {
    const lines = segments.flatMap(({ first, parts }) =>
      parts.flatMap(({ blobId, done }) =>
        listOffsets(done).map((offset) =>
          this.#find(blobId, first + offset, canRead),
        ),
      ),
    );
    const readLines = lines.filter((line) => line !== undefined);
    return readLines.length === lines.length ? readLines : undefined;
  }

  #find(
    blobId: string,
    index: number,
    canRead: (id: InstanceId) => boolean,
  ): StoredLine | undefined {
    const readable = [...this.#disks.entries()].filter(([id]) => canRead(id));
    return readable
      .map(([, disk]) => disk.get(blobId)?.get(index))
      .find((line) => line !== undefined);
  }
}
