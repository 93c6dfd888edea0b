import {
  type AttemptId,
  assertNever,
  type Effect,
  getSharded,
  type UpstreamId,
} from "@gooseberryline/core";
import { describeOutcome } from "./describe_outcome.ts";
import type { EffectContext } from "./effect_context.ts";
import { JobEffects } from "./job_effects.ts";
import { PLATFORM_LOCATION } from "./platform_location.ts";
import type { WorldNode } from "./types.ts";
import type { EngineNotice } from "./virtual_engine.ts";

const ANSWER_TOKENS = 50;

/** Runs the effects of the core against the fakes of the simulated world. */
export class EffectRunner {
  readonly #parts: EffectContext;
  readonly #jobs: JobEffects;

  constructor(parts: EffectContext) {
    this.#parts = parts;
    this.#jobs = new JobEffects(parts, parts.disks);
  }

  runEffect(node: WorldNode, effect: Effect): void {
    switch (effect.kind) {
      case "start-attempt":
        this.#startAttempt(node, effect);
        return;
      case "cancel-attempt":
        node.listening.delete(effect.attemptId);
        this.#parts.engines.forEach((engine) => {
          engine.cancel(effect.attemptId);
        });
        this.#parts.ledger.recordRunEnd(effect.attemptId, false, this.#nowMs);
        return;
      case "complete-request":
        this.#parts.ledger.recordEnd(
          effect.workId,
          { kind: "answered" },
          this.#nowMs,
        );
        return;
      case "refuse-request": {
        const { workId, refusal } = effect;
        this.#parts.ledger.recordEnd(
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
        this.#jobs.buildOutput(node, effect);
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
        this.#parts.setWatch(node, effect.isWatching);
        return;
      case "keep-config":
        this.#parts.storeConfig(node, effect.config);
        return;
      default:
        assertNever(effect);
    }
  }

  #sendPeer(
    node: WorldNode,
    { to, message }: Extract<Effect, { kind: "send-peer" }>,
  ): void {
    this.#parts.ledger.recordMessage(message);
    this.#parts.findNodes(to).forEach((target) => {
      const delayMs = this.#parts.network.drawDelay(node, target);
      if (delayMs !== undefined) {
        const from = node.id;
        this.#parts.queue.schedule(delayMs, () =>
          this.#parts.dispatch(target, {
            kind: "peer-message",
            from,
            message,
          }),
        );
      }
    });
  }

  #callPlatform(
    node: WorldNode,
    { callId, call }: Extract<Effect, { kind: "call-platform" }>,
  ): void {
    const { delayMs } = this.#parts.store.faults;
    const isCut = this.#parts.network.isCut(node, PLATFORM_LOCATION);
    this.#parts.queue.schedule(delayMs / 2, () => {
      const answer = isCut
        ? ({ kind: "unavailable" } as const)
        : this.#parts.store.call(call, this.#nowMs);
      this.#parts.queue.schedule(delayMs / 2, () =>
        this.#parts.dispatch(node, {
          kind: "platform-answered",
          callId,
          answer,
        }),
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
    const delayMs = this.#parts.network.drawDelay(node, {
      id: upstreamId,
      dataCentre,
    });
    node.listening.add(attemptId);
    const sendNotice = (notice: EngineNotice): void => {
      this.#recordRunEnd(attemptId, notice);
      this.#parts.queue.schedule(delayMs ?? 0, () =>
        this.#handleNotice(node, effect, notice),
      );
    };
    if (engine === undefined || delayMs === undefined) {
      sendNotice({ kind: "refused" });
      return;
    }
    const order = getSharded(node.state.works, workId)?.order;
    this.#parts.queue.schedule(delayMs, () => {
      if (!node.listening.has(attemptId)) {
        return;
      }
      if (engine.isDown) {
        sendNotice({ kind: "refused" });
        return;
      }
      this.#parts.ledger.recordRun({
        attemptId,
        workId,
        upstreamId,
        instanceId: node.id,
        order,
        startedMs: this.#nowMs,
        endedMs: undefined,
        isComplete: false,
      });
      engine.start(attemptId, { tokens: ANSWER_TOKENS, sendNotice });
    });
  }

  #recordRunEnd(attemptId: AttemptId, notice: EngineNotice): void {
    if (notice.kind !== "first-token") {
      const isComplete = notice.kind === "whole";
      this.#parts.ledger.recordRunEnd(attemptId, isComplete, this.#nowMs);
    }
  }

  #handleNotice(
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
      this.#parts.ledger.recordFirstToken(workId, this.#nowMs);
      const first = { kind: "attempt-first-token", attemptId } as const;
      this.#parts.dispatch(node, {
        ...first,
        ...this.#buildBootField(upstreamId),
      });
      return;
    }
    const hasToken =
      this.#parts.ledger.findCall(workId)?.firstTokenMs !== undefined;
    const outcome = describeOutcome(notice, upstreamId, hasToken);
    node.listening.delete(attemptId);
    const ended = { kind: "attempt-ended", attemptId, outcome } as const;
    const boot =
      outcome.kind === "completed" ? this.#buildBootField(upstreamId) : {};
    this.#parts.dispatch(node, { ...ended, ...boot });
  }

  #buildBootField(upstreamId: UpstreamId): { readonly bootId?: string } {
    const bootId = this.#parts.engines.get(upstreamId)?.bootId;
    return bootId === undefined ? {} : { bootId };
  }

  get #nowMs(): number {
    return this.#parts.queue.nowMs;
  }
}
