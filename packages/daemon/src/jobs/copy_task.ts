import type { InstanceId, InstanceState } from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { BlobPeers } from "./types.ts";

const ROUND_MS = 60_000;
const HEARD_MS = 60_000;

/** What the task needs of the rest of the daemon. */
export type CopyTaskParts = {
  readonly blobs: SharedBlobs;
  readonly peers: BlobPeers;
  readonly readState: () => InstanceState;
  readonly log: Log;
};

/**
 * Copies files again whose other copy was lost with its disk. A file counts
 * as lost elsewhere after two rounds, so that a restart costs no copy.
 */
export class CopyTask {
  readonly #parts: CopyTaskParts;
  readonly #timer: NodeJS.Timeout;
  #alone: ReadonlySet<string> = new Set();
  #ended: ReadonlySet<string> = new Set();
  #isRunning = false;

  constructor(parts: CopyTaskParts) {
    this.#parts = parts;
    this.#timer = setInterval(() => void this.run(), ROUND_MS);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Runs one round; resolves with the names of the files copied. */
  async run(): Promise<readonly string[]> {
    if (this.#isRunning || !this.#parts.readState().self.hasDisk) {
      return [];
    }
    this.#isRunning = true;
    try {
      return await this.#runRound();
    } finally {
      this.#isRunning = false;
    }
  }

  async #runRound(): Promise<readonly string[]> {
    const { blobs } = this.#parts;
    const others = this.#listPeers();
    const held = await Promise.all(others.map((id) => this.#listNames(id)));
    if (others.length === 0 || held.includes(undefined)) {
      return [];
    }
    const elsewhere = new Set(held.flatMap((names) => names ?? []));
    const own = await blobs.folder.list("");
    const ended = own.filter((name) => this.#isEnded(name));
    const alone = own.filter(
      (name) => !elsewhere.has(name) && !ended.includes(name),
    );
    await this.#dropEnded(ended);
    const lost = alone.filter((name) => this.#alone.has(name));
    this.#alone = new Set(alone);
    await lost.reduce(async (before, name) => {
      await before;
      await this.#copy(name);
    }, Promise.resolve());
    return lost;
  }

  /** Whether a result belongs to a job that no longer runs. */
  #isEnded(name: string): boolean {
    const { known } = this.#parts.readState().jobs;
    const [, blobId = ""] = name.split("/");
    return (
      name.startsWith("results/") &&
      known[blobId.split(".")[0] ?? ""] === undefined
    );
  }

  /** Removes results that a restart kept from being removed in time. */
  async #dropEnded(ended: readonly string[]): Promise<void> {
    const stale = ended.filter((name) => this.#ended.has(name));
    this.#ended = new Set(ended);
    const knowsJobs = this.#parts.readState().jobs.revision > 0;
    if (knowsJobs) {
      const { folder } = this.#parts.blobs;
      await Promise.all(stale.map((name) => folder.remove(name)));
    }
  }

  #listPeers(): readonly InstanceId[] {
    const { members } = this.#parts.readState().membership;
    return Object.values(members)
      .filter(({ hasDisk }) => hasDisk)
      .filter(({ heardMs }) => Date.now() - heardMs < HEARD_MS)
      .map(({ instanceId }) => instanceId);
  }

  /** A peer's files; undefined where it can't be asked now. */
  async #listNames(id: InstanceId): Promise<readonly string[] | undefined> {
    return this.#parts.peers.list(id, "").then(
      (found) => found.map(({ name }) => name),
      () => undefined,
    );
  }

  async #copy(name: string): Promise<void> {
    const { blobs, log } = this.#parts;
    try {
      await blobs.replicate([name]);
      log.info("copied-again", { step: "store", file: name });
    } catch (error) {
      const message = String(error);
      log.warn("copy-failed", { step: "store", file: name, message });
    }
  }
}
