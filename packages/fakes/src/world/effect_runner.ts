import {
  type AttemptId,
  assertNever,
  type Effect,
  getSharded,
  type UpstreamId,
} from "@gooseberryline/core";
import { describeOutcome } from "./describe_outcome.ts";
import { JobEffects } from "./job_effects.ts";
import { PLATFORM_PLACE } from "./platform_place.ts";
import type { RunnerParts } from "./runner_parts.ts";
import type { WorldNode } from "./types.ts";
import type { EngineNotice } from "./virtual_engine.ts";

const ANSWER_TOKENS = 50;

/** Carries out effects of the core with the fakes of the world. */
export class EffectRunner {
  readonly #parts: RunnerParts;
  readonly #jobs: JobEffects;

  constructor(parts: RunnerParts) {
    this.#parts = parts;
    this.#jobs = new JobEffects(parts, parts.disks);
  }

  carryOut(node: WorldNode, effect: Effect): void {
    switch (effect.kind) {
      case "start-attempt":
        this.#startAttempt(node, effect);
        return;
      case "cancel-attempt":
        node.listening.delete(effect.attemptId);
        this.#parts.engines.forEach((engine) => {
          engine.cancel(effect.attemptId);
        });
        this.#parts.ledger.noteRunEnd(effect.attemptId, false, this.#nowMs);
        return;
      case "complete-request":
        this.#parts.ledger.noteEnd(
          effect.workId,
          { kind: "answered" },
          this.#nowMs,
        );
        return;
      case "refuse-request": {
        const { workId, refusal } = effect;
        this.#parts.ledger.noteEnd(
          workId,
          { kind: "refused", refusal },
          this.#nowMs,
        );
        return;
      }
      case "store-result":
        this.#jobs.store(node, effect);
        return;
      case "build-output":
        this.#jobs.build(node, effect);
        return;
      case "drop-results":
        this.#parts.disks.drop(node.id, effect.jobId);
        return;
      case "answer-job":
        this.#parts.ledger.jobAnswers.push(effect);
        return;
      case "send-peer":
        this.#sendPeer(node, effect);
        return;
      case "call-platform":
        this.#callPlatform(node, effect);
        return;
      case "record-run":
        this.#parts.ledger.runRecords.push(effect.run);
        return;
      case "watch-config":
        this.#parts.setWatch(node, effect.isHeld);
        return;
      case "keep-config":
        this.#parts.keepConfig(node, effect.config);
        return;
      default:
        assertNever(effect);
    }
  }

  #sendPeer(
    node: WorldNode,
    { to, message }: Extract<Effect, { kind: "send-peer" }>,
  ): void {
    this.#parts.ledger.noteMessage(message);
    this.#parts.findNodes(to).forEach((target) => {
      const delayMs = this.#parts.network.draw(node, target);
      if (delayMs !== undefined) {
        const from = node.id;
        this.#parts.queue.schedule(delayMs, () =>
          this.#parts.post(target, { kind: "peer-message", from, message }),
        );
      }
    });
  }

  #callPlatform(
    node: WorldNode,
    { callId, call }: Extract<Effect, { kind: "call-platform" }>,
  ): void {
    const { delayMs } = this.#parts.store.faults;
    const isCut = this.#parts.network.isCut(node, PLATFORM_PLACE);
    this.#parts.queue.schedule(delayMs / 2, () => {
      const answer = isCut
        ? ({ kind: "unavailable" } as const)
        : this.#parts.store.call(call, this.#nowMs);
      this.#parts.queue.schedule(delayMs / 2, () =>
        this.#parts.post(node, { kind: "platform-answered", callId, answer }),
      );
    });
  }

  #startAttempt(
    node: WorldNode,
    effect: Extract<Effect, { kind: "start-attempt" }>,
  ): void {
    const { attemptId, workId, upstreamId } = effect;
    const engine = this.#parts.engines.get(upstreamId);
    const upstream = node.state.upstreams[upstreamId];
    const dataCentre = upstream?.dataCentre ?? node.dataCentre;
    const delayMs = this.#parts.network.draw(node, {
      id: upstreamId,
      dataCentre,
    });
    node.listening.add(attemptId);
    const tell = (notice: EngineNotice): void => {
      this.#noteEngine(attemptId, notice);
      this.#parts.queue.schedule(delayMs ?? 0, () =>
        this.#hearEngine(node, effect, notice),
      );
    };
    if (engine === undefined || delayMs === undefined) {
      tell({ kind: "refused" });
      return;
    }
    const order = getSharded(node.state.works, workId)?.order;
    this.#parts.queue.schedule(delayMs, () => {
      if (!node.listening.has(attemptId)) {
        return;
      }
      if (engine.isDown) {
        tell({ kind: "refused" });
        return;
      }
      this.#parts.ledger.noteRun({
        attemptId,
        workId,
        upstreamId,
        instanceId: node.id,
        order,
        startedMs: this.#nowMs,
        endedMs: undefined,
        isWhole: false,
      });
      engine.start(attemptId, { tokens: ANSWER_TOKENS, tell });
    });
  }

  #noteEngine(attemptId: AttemptId, notice: EngineNotice): void {
    if (notice.kind !== "first-token") {
      const isWhole = notice.kind === "whole";
      this.#parts.ledger.noteRunEnd(attemptId, isWhole, this.#nowMs);
    }
  }

  #hearEngine(
    node: WorldNode,
    {
      attemptId,
      workId,
      upstreamId,
    }: Extract<Effect, { kind: "start-attempt" }>,
    notice: EngineNotice,
  ): void {
    if (!node.isAlive || !node.listening.has(attemptId)) {
      return;
    }
    if (notice.kind === "first-token") {
      this.#parts.ledger.noteFirstToken(workId, this.#nowMs);
      const first = { kind: "attempt-first-token", attemptId } as const;
      this.#parts.post(node, { ...first, ...this.#nameBoot(upstreamId) });
      return;
    }
    const hasToken =
      this.#parts.ledger.findCall(workId)?.firstTokenMs !== undefined;
    const outcome = describeOutcome(notice, upstreamId, hasToken);
    node.listening.delete(attemptId);
    const ended = { kind: "attempt-ended", attemptId, outcome } as const;
    const boot = outcome.kind === "completed" ? this.#nameBoot(upstreamId) : {};
    this.#parts.post(node, { ...ended, ...boot });
  }

  #nameBoot(upstreamId: UpstreamId): { readonly bootId?: string } {
    const bootId = this.#parts.engines.get(upstreamId)?.bootId;
    return bootId === undefined ? {} : { bootId };
  }

  get #nowMs(): number {
    return this.#parts.queue.nowMs;
  }
}
