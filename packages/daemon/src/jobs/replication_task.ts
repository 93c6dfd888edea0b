import type { InstanceId, InstanceState } from "@gooseberryline/core";
import type { Log } from "../logs/create_log.ts";
import type { SharedBlobs } from "./shared_blobs.ts";
import type { BlobPeers } from "./types.ts";

const ROUND_INTERVAL_MS = 60_000;
const PEER_LIVENESS_MS = 60_000;

/** Dependencies of the task. */
export type ReplicationTaskParts = {
  readonly blobs: SharedBlobs;
  readonly peers: BlobPeers;
  readonly readState: () => InstanceState;
  readonly log: Log;
};

/**
 * Re-replicates files whose other copy was lost with its disk. A copy counts as
 * lost only if it is missing in two consecutive rounds, so that a restart of
 * the other instance does not trigger a copy.
 */
export class ReplicationTask {
  readonly #parts: ReplicationTaskParts;
  readonly #timer: NodeJS.Timeout;
  #singleCopies: ReadonlySet<string> = new Set();
  #endedResults: ReadonlySet<string> = new Set();
  #isRunning = false;

  constructor(parts: ReplicationTaskParts) {
    this.#parts = parts;
    this.#timer = setInterval(() => void this.run(), ROUND_INTERVAL_MS);
    this.#timer.unref();
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  /** Runs one round and resolves with the names of the copied files. */
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
    const peerListings = await Promise.all(
      others.map((id) => this.#listNames(id)),
    );
    if (others.length === 0 || peerListings.includes(undefined)) {
      return [];
    }
    const namesOnPeers = new Set(peerListings.flatMap((names) => names ?? []));
    const ownNames = await blobs.folder.list("");
    const ended = ownNames.filter((name) => this.#isEnded(name));
    const singleCopies = ownNames.filter(
      (name) => !namesOnPeers.has(name) && !ended.includes(name),
    );
    await this.#sweepEndedResults(ended);
    const lost = singleCopies.filter((name) => this.#singleCopies.has(name));
    this.#singleCopies = new Set(singleCopies);
    await lost.reduce(async (before, name) => {
      await before;
      await this.#copy(name);
    }, Promise.resolve());
    return lost;
  }

  /**
   * Returns whether the file is a result of a job that this instance doesn't
   * know, which is the case once the job has ended.
   */
  #isEnded(name: string): boolean {
    const { known } = this.#parts.readState().jobs;
    const [, blobId = ""] = name.split("/");
    return (
      name.startsWith("results/") &&
      known[blobId.split(".")[0] ?? ""] === undefined
    );
  }

  /** Removes results of ended jobs that were left behind by a restart. */
  async #sweepEndedResults(ended: readonly string[]): Promise<void> {
    const stale = ended.filter((name) => this.#endedResults.has(name));
    this.#endedResults = new Set(ended);
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
      .filter(({ lastSeenMs }) => Date.now() - lastSeenMs < PEER_LIVENESS_MS)
      .map(({ instanceId }) => instanceId);
  }

  /**
   * Lists a peer's files; resolves with undefined if the peer is unreachable.
   */
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
