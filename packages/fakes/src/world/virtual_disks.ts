import type {
  EndedSegment,
  InstanceId,
  ItemResult,
  JobId,
} from "@gooseberryline/core";
import { listOffsets } from "@gooseberryline/core";
import type { StoredLine } from "./types.ts";

type Disk = Map<string, Map<number, StoredLine>>;

/** The disks of instances; they outlast a restart, unless they are lost. */
export class VirtualDisks {
  readonly #disks = new Map<InstanceId, Disk>();

  /** Writes one result into a file of an instance's disk. */
  write(
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

  /** Drops the result files of an ended job from one disk. */
  drop(id: InstanceId, jobId: JobId): void {
    const disk = this.#disks.get(id) ?? new Map();
    [...disk.keys()]
      .filter((blobId) => blobId.startsWith(`${jobId}.`))
      .forEach((blobId) => {
        disk.delete(blobId);
      });
  }

  /** Loses all that an instance's disk holds. */
  lose(id: InstanceId): void {
    this.#disks.delete(id);
  }

  /** The lines of ended segments, or undefined where one can't be read. */
  collect(
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
    const whole = lines.filter((line) => line !== undefined);
    return whole.length === lines.length ? whole : undefined;
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
