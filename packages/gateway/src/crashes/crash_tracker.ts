import {
  type BlockSubject,
  CRASHES,
  type Crash,
  type CrashBlock,
  type CrashNews,
  type CrashSuspect,
  type CrashVerdict,
  decideCrashBlocks,
  decideCrashVerdict,
  mergeCrash,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { addRecentEntry } from "../add_recent_entry.ts";
import { BlockList } from "./block_list.ts";
import { CRASH_TIMES } from "./constants.ts";
import type { RequestKey } from "./request_key.ts";

/** How a block became known. */
export type BlockSource = "evidence" | "peer" | "store";

/** Why a block no longer holds. */
export type LiftReason = "record removed" | "upstreams reached" | "time over";

/** An attempt in flight; told without parts once its answer has begun. */
export type PendingAttempt = BlockSubject & {
  /** Stops the attempt, since a block holds for it. */
  readonly stop: (block: CrashBlock) => void;
};

type VerdictWait = {
  readonly upstreamId: string;
  readonly settle: (verdict: CrashVerdict) => void;
};

type CrashTrackerParts = {
  readonly instanceId: string;
  readonly readNowMs: () => number;
  readonly readUnixMs: () => number;
  /** Returns whether an upstream has sent data to any instance since then. */
  readonly hasActivitySince: (upstreamId: string, sinceMs: number) => boolean;
  readonly findUpstream: (upstreamId: string) => UpstreamEntry | undefined;
};

/**
 * Tracks which requests and prompt parts were being answered when upstreams
 * crashed, and which are blocked for it. Evidence and blocks are those of the whole fleet, as
 * far as peers have told.
 */
export class CrashTracker {
  readonly #parts: CrashTrackerParts;
  #crashes: readonly Crash[] = [];
  readonly #list: BlockList;
  /** What this instance saw itself, to report to peers. */
  #ownCrashes: readonly Crash[] = [];
  /** The registrations of upstreams that may have crashed, by their ids. */
  readonly #entries = new Map<string, UpstreamEntry>();
  /**
   * When an answer last began on a part, or a request was answered whole, here or
   * at a peer.
   */
  readonly #lastSoundMs = new Map<string, number>();
  readonly #pending = new Set<PendingAttempt>();
  /** The verdicts that were told, by upstream. */
  readonly #verdicts = new Map<string, CrashVerdict>();
  readonly #waiting = new Set<VerdictWait>();
  /** Called for what peers have to learn before the next interval. */
  onUrgentNews: () => void = () => undefined;
  /** Called for each possible crash that this instance had not heard of. */
  onNewCrash: (crash: Crash) => void = () => undefined;
  /** Called when a block is new here, or holds for more customers. */
  onBlock: (block: CrashBlock, source: BlockSource) => void = () => undefined;
  /** Called when a block no longer holds. */
  onLift: (block: CrashBlock, reason: LiftReason) => void = () => undefined;
  /** Called once it is known what a possible crash was. */
  onVerdict: (crash: Crash, verdict: CrashVerdict) => void = () => undefined;

  constructor(parts: CrashTrackerParts) {
    this.#parts = parts;
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
    return this.#crashes.filter(
      ({ reachedAt, suspects, atMs }) =>
        reachedAt.length === 0 &&
        suspects.some(({ request }) => key.matches(request)) &&
        this.#getLastSoundMs(key.full) < atMs,
    ).length;
  }

  /** Returns what the latest possible crash of an upstream was. */
  findVerdict(upstreamId: string): CrashVerdict {
    const crash = this.#crashes.findLast(
      (known) => known.upstreamId === upstreamId,
    );
    return crash === undefined
      ? "unknown"
      : decideCrashVerdict(crash, this.#parts.readNowMs());
  }

  /** Waits until it is known what a crash was; `unknown` after some time. */
  awaitVerdict(upstreamId: string): Promise<CrashVerdict> {
    return new Promise((resolve) => {
      const settle = (verdict: CrashVerdict): void => {
        clearTimeout(timer);
        this.#waiting.delete(wait);
        resolve(verdict);
      };
      const wait = { upstreamId, settle };
      const timer = setTimeout(() => {
        settle(this.findVerdict(upstreamId));
      }, CRASH_TIMES.MAX_VERDICT_WAIT_MS);
      this.#waiting.add(wait);
      this.#tellVerdicts();
    });
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
    const isSuspected = this.#crashes.some(({ suspects }) =>
      suspects.some(({ request }) => key.matches(request)),
    );
    // One that breaks and is answered elsewhere at once is suspected only later.
    if (isSuspected || key.isHashed) {
      this.#setLastSoundMs(key.full, this.#parts.readNowMs());
    }
  }

  /** Records that an answer began on a prompt with these parts. */
  recordSoundStart(parts: readonly string[]): void {
    const nowMs = this.#parts.readNowMs();
    parts.forEach((part) => {
      this.#setLastSoundMs(part, nowMs);
    });
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

  /** Records that this instance reached a process that others found down. */
  recordReached({ upstreamId, atMs }: Crash): void {
    const reachedAt = [this.#parts.instanceId];
    this.#recordOwn({ upstreamId, atMs, suspects: [], downAt: [], reachedAt });
  }

  #recordOwn(seen: Omit<Crash, "isReplaced">): void {
    const crash = { ...seen, isReplaced: false };
    this.#ownCrashes = mergeCrash(this.#ownCrashes, crash);
    this.#addCrashes([crash]);
    this.onUrgentNews();
  }

  /** Records that the platform lists this process, maybe in another's place. */
  recordListed(entry: UpstreamEntry): void {
    const nowMs = this.#parts.readNowMs();
    const replaced = this.#crashes.filter(
      ({ upstreamId, atMs, isReplaced }) =>
        !isReplaced &&
        nowMs - atMs < CRASHES.SUCCESSOR_MS &&
        isSuccessor(entry, this.#entries.get(upstreamId)),
    );
    if (replaced.length > 0) {
      this.#addCrashes(
        replaced.map((crash) => ({ ...crash, isReplaced: true })),
      );
    }
  }

  /** Returns what to tell peers; undefined if there is nothing. */
  buildNews(): CrashNews | undefined {
    const nowMs = this.#parts.readNowMs();
    const crashes = this.#ownCrashes
      .filter(({ atMs }) => nowMs - atMs < CRASHES.REPORT_MS)
      .map(({ atMs, isReplaced, ...crash }) => ({
        ...crash,
        ageMs: Math.round(nowMs - atMs),
      }));
    const soundAges = this.#listSoundAges(nowMs);
    this.#endBlocks(this.#list.removeLapsed(), "time over");
    const inForce = this.blocks;
    const isEmpty =
      crashes.length === 0 &&
      inForce.length === 0 &&
      Object.keys(soundAges).length === 0;
    return isEmpty ? undefined : { crashes, soundAges, blocks: [], inForce };
  }

  /** Lists the ages of sound answers that speak against recent suspicions. */
  #listSoundAges(nowMs: number): Readonly<Record<string, number>> {
    const suspected = this.#crashes
      .filter(({ atMs }) => nowMs - atMs < CRASHES.SUSPICION_MS)
      .flatMap(({ suspects }) => suspects)
      .flatMap(({ request, parts }) => [request, ...parts]);
    const ages = [...new Set(suspected)].flatMap((part) => {
      const atMs = this.#lastSoundMs.get(part);
      return atMs === undefined || nowMs - atMs > CRASHES.REPORT_MS
        ? []
        : [[part, Math.round(nowMs - atMs)] as const];
    });
    return Object.fromEntries(ages);
  }

  recordPeerNews({ crashes, soundAges, inForce }: CrashNews): void {
    const nowMs = this.#parts.readNowMs();
    Object.entries(soundAges).forEach(([part, ageMs]) => {
      const atMs = nowMs - ageMs;
      if (atMs > this.#getLastSoundMs(part)) {
        this.#setLastSoundMs(part, atMs);
      }
    });
    this.#addCrashes(
      crashes.map(({ ageMs, ...crash }) => ({
        ...crash,
        atMs: nowMs - ageMs,
        isReplaced: false,
      })),
    );
    inForce
      .filter((block) => !this.#list.isLifted(block))
      .filter((block) => !this.#isUnfounded(block))
      .forEach((block) => {
        this.addBlock(block, "peer");
      });
  }

  #addCrashes(crashes: readonly Crash[]): void {
    const before = this.#crashes;
    this.#crashes = crashes.reduce(mergeCrash, before);
    if (this.#crashes === before) {
      return;
    }
    this.#crashes
      .filter((crash) => !before.some((known) => isSameCrash(known, crash)))
      .forEach((crash) => {
        this.#keepEntry(crash.upstreamId);
        this.onNewCrash(crash);
      });
    this.review();
  }

  #keepEntry(upstreamId: string): void {
    const entry = this.#parts.findUpstream(upstreamId);
    if (entry !== undefined) {
      const maxEntries = CRASHES.MAX_EVIDENCE;
      addRecentEntry(this.#entries, upstreamId, entry, maxEntries);
    }
  }

  /**
   * Decides anew what is blocked, since more is known of crashes or time has
   * passed. Lifts blocks by crashes that were none.
   */
  review(): void {
    this.#recordLifeSigns();
    const unfounded = this.#list.remove((block) => this.#isUnfounded(block));
    this.#endBlocks(unfounded, "upstreams reached");
    const nowMs = this.#parts.readNowMs();
    const crashed = this.#crashes.filter(
      (crash) => decideCrashVerdict(crash, nowMs) === "crashed",
    );
    decideCrashBlocks(crashed, (key) => this.#getLastSoundMs(key)).forEach(
      (block) => {
        this.addBlock(block, "evidence");
      },
    );
    this.#list.renewLapsed(crashed).forEach((block) => {
      this.addBlock(block, "evidence");
    });
    this.#tellVerdicts();
  }

  #tellVerdicts(): void {
    [...this.#waiting].forEach(({ upstreamId, settle }) => {
      const verdict = this.findVerdict(upstreamId);
      if (verdict !== "unknown") {
        settle(verdict);
      }
    });
    const nowMs = this.#parts.readNowMs();
    this.#crashes.forEach((crash) => {
      const { upstreamId } = crash;
      const verdict = decideCrashVerdict(crash, nowMs);
      const isKnown =
        verdict === "unknown" || this.#verdicts.get(upstreamId) === verdict;
      if (!isKnown) {
        const maxEntries = CRASHES.MAX_EVIDENCE;
        addRecentEntry(this.#verdicts, upstreamId, verdict, maxEntries);
        this.onVerdict(crash, verdict);
      }
    });
  }

  /** Records of which upstreams data arrived after they seemed to crash. */
  #recordLifeSigns(): void {
    const { readNowMs, hasActivitySince, instanceId } = this.#parts;
    const nowMs = readNowMs();
    const alive = this.#crashes
      .filter(({ atMs }) => nowMs - atMs < CRASHES.LIFE_SIGN_MS)
      .filter(({ reachedAt }) => !reachedAt.includes(instanceId))
      .filter(({ upstreamId, atMs }) =>
        hasActivitySince(upstreamId, atMs + CRASHES.ARRIVAL_MARGIN_MS),
      )
      .map((crash) => ({ ...crash, suspects: [], reachedAt: [instanceId] }));
    this.#crashes = alive.reduce(mergeCrash, this.#crashes);
    this.#ownCrashes = alive.reduce(mergeCrash, this.#ownCrashes);
  }

  /** Returns whether too few of the crashes that led to a block were crashes. */
  #isUnfounded({ upstreams }: CrashBlock): boolean {
    const crashed = upstreams.filter(
      (upstreamId) => this.findVerdict(upstreamId) !== "reached",
    );
    return (
      crashed.length < upstreams.length &&
      crashed.length < CRASHES.BLOCKING_CRASHES
    );
  }

  /** Puts a block in force and stops the attempts that it holds for. */
  addBlock(block: CrashBlock, source: BlockSource): void {
    if (!this.#list.add(block)) {
      return;
    }
    this.onBlock(block, source);
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
      const keys = block.kind === "request" ? [block.request] : block.parts;
      this.recordSoundStart(keys);
    });
    this.#endBlocks(lifted, "record removed");
  }

  #endBlocks(ended: readonly CrashBlock[], reason: LiftReason): void {
    ended.forEach((block) => {
      this.onLift(block, reason);
    });
  }

  #setLastSoundMs(key: string, atMs: number): void {
    addRecentEntry(this.#lastSoundMs, key, atMs, CRASHES.MAX_SOUND_PARTS);
  }

  #getLastSoundMs(key: string): number {
    return this.#lastSoundMs.get(key) ?? Number.NEGATIVE_INFINITY;
  }
}

function isSameCrash(a: Crash, b: Crash): boolean {
  return (
    a.upstreamId === b.upstreamId &&
    Math.abs(a.atMs - b.atMs) < CRASHES.SAME_CRASH_MS
  );
}

/** Returns whether a listed process has taken the place of an earlier one. */
function isSuccessor(
  entry: UpstreamEntry,
  earlier: UpstreamEntry | undefined,
): boolean {
  if (earlier === undefined) {
    return false;
  }
  return entry.id === earlier.id
    ? entry.bornMs !== earlier.bornMs
    : entry.address === earlier.address;
}
