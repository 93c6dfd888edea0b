import {
  type BlockSubject,
  type Crash,
  type CrashBlock,
  type CrashNews,
  type CrashSuspect,
  type CrashVerdict,
  decideCrashBlocks,
  findChain,
  hasSoundSuspect,
  listBlockKeys,
  listLoneCrashes,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { BlockList } from "./block_list.ts";
import { CrashEvidence, type CrashEvidenceParts } from "./crash_evidence.ts";
import type { RequestKey } from "./request_key.ts";
import { SoundAnswers } from "./sound_answers.ts";
import { ToldVerdicts } from "./told_verdicts.ts";
import type { BlockSource, LiftReason, OnBlock } from "./types.ts";
import { VerdictWaits } from "./verdict_waits.ts";

/** An attempt in flight; told without parts once its answer has begun. */
export type PendingAttempt = BlockSubject & {
  /** Stops the attempt, since a block holds for it. */
  readonly stop: (block: CrashBlock) => void;
};

type CrashTrackerParts = CrashEvidenceParts & {
  readonly readUnixMs: () => number;
};

/**
 * Tracks which requests and prompt parts were being answered when upstreams
 * crashed, and which are blocked for it. Evidence and blocks are those of the
 * whole fleet, as far as peers have told.
 */
export class CrashTracker {
  readonly #parts: CrashTrackerParts;
  readonly #evidence: CrashEvidence;
  readonly #list: BlockList;
  readonly #sound = new SoundAnswers();
  /** Those of this instance alone. */
  readonly #ownSound = new SoundAnswers();
  readonly #waits = new VerdictWaits((id) => this.findVerdict(id));
  readonly #pending = new Set<PendingAttempt>();
  readonly #told = new ToldVerdicts();
  readonly #getLastSoundMs = (key: string): number =>
    this.#sound.getLastMs(key);
  /** Called for what peers have to learn before the next interval. */
  onUrgentNews: () => void = () => undefined;
  /** Called for each possible crash that this instance had not heard of. */
  onNewCrash: (crash: Crash) => void = () => undefined;
  /** Called when a block is new here, or holds for more customers. */
  onBlock: OnBlock = () => undefined;
  /** Called when a block no longer holds. */
  onLift: (block: CrashBlock, reason: LiftReason) => void = () => undefined;
  /** Called once it is known what a possible crash was. */
  onVerdict: (crash: Crash, verdict: CrashVerdict) => void = () => undefined;

  constructor(parts: CrashTrackerParts) {
    this.#parts = parts;
    this.#evidence = new CrashEvidence(parts);
    this.#list = new BlockList(parts);
  }

  get blocks(): readonly CrashBlock[] {
    return this.#list.blocks;
  }

  findBlock(subject: BlockSubject): CrashBlock | undefined {
    return this.#list.find(subject);
  }

  /**
   * Counts the possible crashes under a request since it was last answered
   * whole, without those that were only cut paths.
   */
  countCrashesUnder(key: RequestKey): number {
    const listUnder = ({ suspects }: Crash): readonly CrashSuspect[] =>
      suspects.filter(({ request }) => key.matches(request));
    const lastSoundMs = this.#sound.getLastMs(key.full);
    const against = this.#evidence
      .listPossible()
      .filter(
        (crash) => lastSoundMs < crash.atMs && listUnder(crash).length > 0,
      );
    return findChain(against, listUnder).length;
  }

  /** Returns what the latest possible crash of an upstream was. */
  findVerdict(upstreamId: string): CrashVerdict {
    return this.#evidence.findVerdict(upstreamId);
  }

  /** Waits until it is known what a crash was; `unknown` after some time. */
  awaitVerdict(upstreamId: string): Promise<CrashVerdict> {
    return this.#waits.wait(upstreamId);
  }

  /** Follows an attempt until it ends. */
  addPending(attempt: PendingAttempt): void {
    this.#pending.add(attempt);
  }

  dropPending(attempt: PendingAttempt): void {
    this.#pending.delete(attempt);
  }

  /** Records that a request was answered whole. */
  recordWholeAnswer(key: RequestKey): void {
    const isSuspected = this.#evidence.crashes.some(({ suspects }) =>
      suspects.some(({ request }) => key.matches(request)),
    );
    // One that breaks and is answered elsewhere at once is suspected only later.
    if (isSuspected || key.isHashed) {
      this.recordSoundStart([key.full]);
    }
  }

  /**
   * Records that an answer began on a prompt with these parts. Peers hear at once
   * of the first one after a crash.
   */
  recordSoundStart(keys: readonly string[]): void {
    const nowMs = this.#parts.readNowMs();
    const isObjection = keys.some(
      (key) => this.#evidence.getLastUnderMs(key) > this.#sound.getLastMs(key),
    );
    keys.forEach((key) => {
      this.#sound.record(key, nowMs);
      this.#ownSound.record(key, nowMs);
    });
    if (isObjection) {
      this.onUrgentNews();
    }
  }

  /**
   * Records that this instance found an upstream down after its connections broke
   * at `atMs`, and the request that was under way there, if any.
   */
  recordDown(
    upstreamId: string,
    atMs: number,
    suspects: readonly CrashSuspect[],
  ): void {
    const downAt = [this.#parts.instanceId];
    this.#recordOwn({ upstreamId, atMs, suspects, downAt, reachedAt: [] });
  }

  /** Records that this instance reached a process that others found down then. */
  recordReached(upstreamId: string, atMs: number): void {
    const reachedAt = [this.#parts.instanceId];
    const reachedMs = this.#parts.readNowMs();
    const seen = { upstreamId, atMs, suspects: [], downAt: [] };
    this.#recordOwn({ ...seen, reachedAt, reachedMs });
  }

  #recordOwn(seen: Omit<Crash, "isReplaced">): void {
    const crash = { ...seen, isReplaced: false };
    this.#evidence.addOwn(crash);
    this.#addCrashes([crash]);
    this.onUrgentNews();
  }

  /** Records that the platform lists this process, maybe in another's place. */
  recordListed(entry: UpstreamEntry): void {
    this.#addCrashes(this.#evidence.listReplacedBy(entry));
  }

  /** Returns what to tell peers; undefined if there is nothing. */
  buildNews(): CrashNews | undefined {
    this.#endBlocks(this.#list.removeLapsed(), "time over");
    const crashes = this.#evidence.listReports();
    const suspected = this.#evidence.listSuspectedKeys();
    const soundAges = this.#sound.listAges(suspected, this.#parts.readNowMs());
    const inForce = this.blocks;
    const isEmpty =
      crashes.length === 0 &&
      inForce.length === 0 &&
      Object.keys(soundAges).length === 0;
    return isEmpty ? undefined : { crashes, soundAges, blocks: [], inForce };
  }

  /** Records what a peer's message told that arrived at `nowMs`. */
  recordPeerNews(
    { crashes, soundAges, inForce }: CrashNews,
    nowMs = this.#parts.readNowMs(),
  ): void {
    Object.entries(soundAges).forEach(([key, ageMs]) => {
      this.#sound.record(key, nowMs - ageMs);
    });
    this.#addCrashes(
      crashes.map(({ ageMs, reachedAgeMs, ...crash }) => ({
        ...crash,
        atMs: nowMs - ageMs,
        reachedMs:
          reachedAgeMs === undefined ? undefined : nowMs - reachedAgeMs,
        isReplaced: false,
      })),
    );
    inForce
      .filter((block) => !this.#list.isLifted(block))
      .filter((block) => !this.#evidence.isUnfounded(block))
      .filter((block) => !this.#evidence.isRefuted(block, this.#getLastSoundMs))
      .forEach((block) => {
        this.addBlock(block, "peer");
      });
  }

  #addCrashes(crashes: readonly Crash[]): void {
    const { isChanged, added } = this.#evidence.add(crashes);
    added.forEach((crash) => {
      this.onNewCrash(crash);
    });
    if (isChanged) {
      // Peers that hear of the crash have to hear of the answers, too.
      if (hasSoundSuspect(crashes, (key) => this.#ownSound.getLastMs(key))) {
        this.onUrgentNews();
      }
      this.review();
    }
  }

  /**
   * Decides anew what is blocked, since more is known of crashes or time has
   * passed. Lifts blocks by crashes that were none.
   */
  review(): void {
    this.#evidence.addLifeSigns();
    const unfounded = this.#list.remove((block) =>
      this.#evidence.isUnfounded(block),
    );
    this.#endBlocks(unfounded, "upstreams reached");
    const crashed = this.#evidence.listCrashed();
    const possible = this.#evidence.listPossible();
    const nowMs = this.#parts.readNowMs();
    const decided = decideCrashBlocks(crashed, this.#getLastSoundMs, {
      possible,
      nowMs,
    });
    const lone = listLoneCrashes(crashed, possible);
    const renewed = this.#list.renewLapsed(lone, this.#getLastSoundMs);
    [...decided, ...renewed].forEach((block) => {
      this.addBlock(block, "evidence");
    });
    this.#waits.settleKnown();
    this.#evidence.crashes.forEach((crash) => {
      this.#tellVerdict(crash);
    });
  }

  #tellVerdict(crash: Crash): void {
    const { upstreamId } = crash;
    const verdict = this.findVerdict(upstreamId);
    if (this.#told.record(upstreamId, verdict)) {
      this.onVerdict(crash, verdict);
    }
  }

  /** Puts a block in force and stops the attempts that it holds for. */
  addBlock(block: CrashBlock, source: BlockSource): void {
    if (!this.#list.add(block)) {
      return;
    }
    this.onBlock(block, source, this.#evidence.describe(block.upstreams));
    this.onUrgentNews();
    [...this.#pending].forEach((attempt) => {
      const held = this.findBlock(attempt);
      if (held !== undefined) {
        attempt.stop(held);
      }
    });
  }

  /**
   * Lifts a block. What spoke against its parts until now no longer counts, and
   * peers that have yet to hear of it do not bring it back.
   */
  dropBlock(blockId: string): void {
    const lifted = this.#list.lift(blockId);
    lifted.forEach((block) => {
      this.recordSoundStart(listBlockKeys(block));
    });
    this.#endBlocks(lifted, "record removed");
  }

  #endBlocks(ended: readonly CrashBlock[], reason: LiftReason): void {
    ended.forEach((block) => {
      this.onLift(block, reason);
    });
  }
}
