import {
  type Candidate,
  isLaterStep,
  type LoadMessage,
  ROLLOUTS,
  type RolloutBounds,
  type RolloutOrder,
  type RolloutRecord,
  type StreamOrigin,
  type UpstreamEntry,
} from "@gooseberryline/core";
import { AnswerWatch } from "./answer_watch.ts";
import { ReferenceTimes } from "./reference_times.ts";
import { type PlacedWork, ServiceRollout } from "./service_rollout.ts";
import { VersionHolds } from "./version_holds.ts";

type RolloutTrackerParts = {
  /** Undefined where the platform has no roll-outs. */
  readonly bounds: RolloutBounds | undefined;
  readonly readNowMs: () => number;
  /** Returns the number of instances that serve callers. */
  readonly countServing: () => number;
  /** Returns whether an upstream has no more work than slots. */
  readonly hasRoom: (entry: UpstreamEntry) => boolean;
};

/** A request to place, with the upstreams of its service. */
type RequestToPlace = {
  readonly service: string;
  readonly route: string;
  readonly isRetry: boolean;
  readonly origin: StreamOrigin | undefined;
  readonly candidates: readonly Candidate[];
};

/** Route under which items of jobs are counted; no route has an empty name. */
const ITEMS = "";
/** Part of the duration before its end from which items leave old upstreams. */
const { MOVE_ITEMS_PART } = ROLLOUTS;

/**
 * Holds this instance's part of the roll-outs: which upstreams may get a request,
 * what it has sent, and how both versions answer. Without bounds it does nothing.
 */
export class RolloutTracker {
  readonly #parts: RolloutTrackerParts;
  readonly #rollouts = new Map<string, ServiceRollout>();
  readonly #records = new Map<string, RolloutRecord>();
  /** Services whose order was removed. */
  readonly #withdrawn = new Set<string>();
  readonly #times = new ReferenceTimes();
  readonly #holds = new VersionHolds();
  /** Called when peers must learn something at once. */
  onUrgentNews: () => void = () => undefined;
  /** Called when a version was found bad here or by a peer. */
  onBad: (rollout: ServiceRollout, source: string) => void = () => undefined;
  /** Called when a step was learnt from a peer. */
  onStep: (rollout: ServiceRollout, source: string) => void = () => undefined;
  /** Called when an order for a version that is seen here may be missing. */
  onOrderBehind: () => void = () => undefined;
  #isLoaded = false;

  constructor(parts: RolloutTrackerParts) {
    this.#parts = parts;
  }

  get isOn(): boolean {
    return this.#parts.bounds !== undefined;
  }

  list(): readonly ServiceRollout[] {
    return [...this.#rollouts.values()];
  }

  get(service: string): ServiceRollout | undefined {
    return this.#rollouts.get(service);
  }

  /** Sets an order; returns the roll-out if it is a new one. */
  setOrder(order: RolloutOrder): ServiceRollout | undefined {
    const { bounds, readNowMs, countServing } = this.#parts;
    const before = this.#rollouts.get(order.service);
    const known = before?.order.revision ?? 0;
    if (bounds === undefined || order.revision <= known) {
      return undefined;
    }
    const nowMs = readNowMs();
    // An order that was there before this instance has had its slack spent.
    const credit = this.#isLoaded
      ? (bounds.slack * ROLLOUTS.SLACK_PART) / Math.max(1, countServing())
      : 0;
    const excluded = (before?.badVersions ?? []).filter(
      (version) => version !== order.to,
    );
    const parts = { order, bounds, credit, excluded, nowMs };
    const rollout = new ServiceRollout(parts);
    this.#rollouts.set(order.service, rollout);
    this.#withdrawn.delete(order.service);
    const record = this.#records.get(order.service);
    if (record?.order === order.revision) {
      rollout.adoptRecord(record, nowMs);
    }
    return rollout;
  }

  /** Forgets an order; what its end excludes stays so until it has left. */
  dropOrder(service: string): void {
    this.#withdrawn.add(service);
    const rollout = this.#rollouts.get(service);
    if (rollout?.step !== "rolled-back" && rollout?.step !== "completed") {
      this.#rollouts.delete(service);
    }
  }

  /** Adopts what the store says of an order; returns whether it is a later step. */
  adoptRecord(record: RolloutRecord): boolean {
    this.#records.set(record.service, record);
    const rollout = this.#rollouts.get(record.service);
    if (rollout === undefined || rollout.order.revision !== record.order) {
      return false;
    }
    return rollout.adoptRecord(record, this.#parts.readNowMs());
  }

  dropRecord(service: string): void {
    this.#records.delete(service);
  }

  /** Called once all records have been read. */
  start(): void {
    this.#isLoaded = true;
    this.#holds.start();
  }

  /** Records an entry; a version that is new here may wait for its order. */
  recordListed(entry: UpstreamEntry): void {
    const isHeld =
      this.isOn && this.#holds.recordListed(entry, this.#parts.readNowMs());
    if (isHeld && this.#rollouts.get(entry.service)?.isNew(entry) !== true) {
      this.onOrderBehind();
    }
  }

  /** Lists the upstreams that may get a request, in groups to try in turn. */
  listForRequest({
    service,
    route,
    isRetry,
    origin,
    candidates,
  }: RequestToPlace): readonly (readonly Candidate[])[] {
    const begunBy = origin?.service === service ? origin.version : undefined;
    const canTry = !isRetry && begunBy === undefined;
    return this.#listGroups(service, candidates, { route, canTry, begunBy });
  }

  /** Lists the upstreams that may get an item of a job. */
  listForItem(
    service: string,
    candidates: readonly Candidate[],
  ): readonly Candidate[] {
    const work = { route: ITEMS, canTry: false, begunBy: undefined };
    return this.#listGroups(service, candidates, work)[0] ?? [];
  }

  #listGroups(
    service: string,
    candidates: readonly Candidate[],
    work: PlacedWork,
  ): readonly (readonly Candidate[])[] {
    const rollout = this.#rollouts.get(service);
    const free = this.#dropHeld(candidates, rollout);
    if (rollout === undefined) {
      return [free];
    }
    const groups = rollout.listGroups(free, work, this.#parts.readNowMs());
    const isOver = this.#withdrawn.has(service) && hasNobody(groups);
    return isOver ? [candidates] : groups;
  }

  /** Drops what may have an order that is not known here yet. */
  #dropHeld(
    candidates: readonly Candidate[],
    rollout: ServiceRollout | undefined,
  ): readonly Candidate[] {
    if (!this.isOn) {
      return candidates;
    }
    const nowMs = this.#parts.readNowMs();
    const free = candidates.filter(
      ({ entry }) =>
        rollout?.isNew(entry) === true || !this.#holds.isHeld(entry, nowMs),
    );
    // While it goes on, holding back must not leave the new version alone.
    const canServe = ({ entry }: Candidate): boolean =>
      rollout === undefined || rollout.isEnded || !rollout.isNew(entry);
    return free.some(canServe) ? free : candidates;
  }

  /** Whether an item should leave its upstream, which is about to be stopped. */
  shouldMoveItem(entry: UpstreamEntry): boolean {
    const rollout = this.#rollouts.get(entry.service);
    if (rollout === undefined || rollout.isNew(entry)) {
      return false;
    }
    const { durationMs } = rollout.order;
    const leftMs =
      durationMs - rollout.measureElapsedMs(this.#parts.readNowMs());
    return rollout.step === "all" && leftMs < durationMs * MOVE_ITEMS_PART;
  }

  recordSend(entry: UpstreamEntry): void {
    this.#rollouts.get(entry.service)?.recordSend(entry);
  }

  /** Starts to follow an attempt; undefined where there are no roll-outs. */
  startWatch(entry: UpstreamEntry, route = ITEMS): AnswerWatch | undefined {
    if (!this.isOn) {
      return undefined;
    }
    const { readNowMs, hasRoom } = this.#parts;
    const { service } = entry;
    const startedMs = readNowMs();
    return new AnswerWatch({
      entry,
      route,
      startedMs,
      slowMs: this.#times.computeSlowMs(service, route),
      canCompare: entry.coldUntilMs <= startedMs && hasRoom(entry),
      readNowMs,
      onEnd: ({ counts, firstMs }) => {
        const rollout = this.#rollouts.get(service);
        rollout?.recordAnswer(entry, route, counts, readNowMs());
        const isReference = rollout === undefined || !rollout.isNew(entry);
        if (isReference && firstMs !== undefined) {
          this.#times.record(service, route, firstMs);
        }
      },
    });
  }

  /** Builds what peers are told; undefined if there is no roll-out. */
  buildNews(): LoadMessage["rollouts"] {
    return this.#rollouts.size === 0
      ? undefined
      : Object.fromEntries(
          this.list().map((rollout) => [
            rollout.order.service,
            rollout.buildNews(),
          ]),
        );
  }

  recordPeerNews({ from, incarnation, rollouts = {} }: LoadMessage): void {
    if (!this.isOn) {
      return;
    }
    const nowMs = this.#parts.readNowMs();
    Object.entries(rollouts).forEach(([service, news]) => {
      const rollout = this.#rollouts.get(service);
      const known = rollout?.order.revision ?? 0;
      if (news.order > known) {
        this.onOrderBehind();
      }
      if (rollout === undefined || news.order !== known) {
        return;
      }
      const before = rollout.storedStep;
      const sender = `${from}/${incarnation}`;
      if (rollout.recordPeerNews(sender, news, nowMs)) {
        this.onBad(rollout, from);
      }
      if (isLaterStep(rollout.storedStep, before)) {
        this.onStep(rollout, from);
      }
    });
  }
}

function hasNobody(groups: readonly (readonly Candidate[])[]): boolean {
  return groups.every((group) => group.length === 0);
}
