import {
  type Candidate,
  chooseHome,
  groupBy,
  LEAVING,
  type LeavingPlan,
  planLeaving,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { GatewaySettings } from "../settings/types.ts";
import type { Lane, LoadTracker } from "./load_tracker.ts";

type PlannerParts = {
  readonly settings: GatewaySettings;
  readonly load: LoadTracker;
  readonly readNowMs: () => number;
};

type KnownPlan = { readonly plan: LeavingPlan; readonly atMs: number };

/** An attempt that was sent to another data centre. */
export type Crossing = {
  readonly from: string;
  readonly to: string;
  /**
   * Why: it belongs to the part that evens out the loads, its wait was too long
   * here, or it was an item, which goes where there is room.
   */
  readonly why: "share" | "wait" | "item";
  readonly bytes: number;
};

/** A request whose place is sought. */
type LeavingRequest = {
  readonly service: string;
  readonly affinityKey: string;
  readonly candidates: readonly Candidate[];
};

/** Time for which a plan holds, in ms. */
const MAX_PLAN_AGE_MS = 100;
/** Bytes that cross with a request until answers are known. */
const INITIAL_BYTES = 4_000;
/** Weight of one answer in the mean size. */
const SIZE_WEIGHT = 0.05;
const BYTES_PER_KB = 1_000;

/**
 * Plans which requests leave this data centre, by the demand of all data centres
 * as their instances report it.
 */
export class LeavingPlanner {
  readonly #parts: PlannerParts;
  /** Called with each attempt at an upstream of another data centre. */
  onCrossing: (crossing: Crossing) => void = () => undefined;
  readonly #plans = new Map<string, KnownPlan>();
  readonly #sizes = new Map<string, number>();
  /** Shares that were logged last, by service and data centre. */
  readonly #told = new Map<string, number>();
  /** Called when another share of a service's requests leaves to a data centre. */
  onChange: (
    service: string,
    to: string,
    share: number,
    plan: LeavingPlan,
  ) => void = () => undefined;

  constructor(parts: PlannerParts) {
    this.#parts = parts;
  }

  /** Records the bytes of an attempt that is over, of its request and answer. */
  recordAttempt(
    { service, dataCentre }: UpstreamEntry,
    lane: Lane,
    bytes: number,
  ): void {
    if (lane === "online") {
      const mean = this.#sizes.get(service) ?? INITIAL_BYTES;
      this.#sizes.set(service, mean + (bytes - mean) * SIZE_WEIGHT);
    }
    const from = this.#parts.settings.dataCentre;
    if (dataCentre !== from) {
      const isMeant = this.isMeantFor(service, dataCentre);
      const why = lane === "batch" ? "item" : isMeant ? "share" : "wait";
      this.onCrossing({ from, to: dataCentre, why, bytes });
    }
  }

  /**
   * Decides which data centre a request is meant for, and what leaving has to save;
   * undefined if the settings don't weigh it. A question (`isAsked`) changes no
   * plan.
   */
  decide(
    { service, affinityKey, candidates }: LeavingRequest,
    isAsked = false,
  ) {
    const perKb = this.#parts.settings.crossingMsPerKb;
    if (perKb === undefined) {
      return undefined;
    }
    const bytes = this.#sizes.get(service) ?? INITIAL_BYTES;
    const costMs = (bytes / BYTES_PER_KB) * perKb;
    const plan = this.#getPlan(service, candidates, costMs, isAsked);
    const { dataCentre } = this.#parts.settings;
    return { home: chooseHome(plan, dataCentre, affinityKey), costMs };
  }

  /** Whether a part of a service's requests is meant for a data centre. */
  isMeantFor(service: string, dataCentre: string): boolean {
    return (
      this.#plans
        .get(service)
        ?.plan.shares.some((share) => share.dataCentre === dataCentre) === true
    );
  }

  #getPlan(
    service: string,
    candidates: readonly Candidate[],
    costMs: number,
    isAsked: boolean,
  ): LeavingPlan {
    const nowMs = this.#parts.readNowMs();
    const known = this.#plans.get(service);
    if (known !== undefined && nowMs - known.atMs < MAX_PLAN_AGE_MS) {
      return known.plan;
    }
    const { load, settings } = this.#parts;
    const loads = this.#listLoads(candidates, nowMs);
    const own = settings.dataCentre;
    const findUnseen = (isNear: boolean) =>
      candidates.find(({ entry }) => (entry.dataCentre === own) === isNear)
        ?.unseen ?? 0;
    const plan = planLeaving({
      ownDataCentre: own,
      loads,
      slotsEach: countSlots(candidates) / Math.max(1, candidates.length),
      meanServiceMs: load.getMeanServiceTimeMs(service),
      unseen: { near: findUnseen(true), far: findUnseen(false) },
      costMs,
      isLeaving: (known?.plan.shares.length ?? 0) > 0,
    });
    if (!isAsked) {
      this.#plans.set(service, { plan, atMs: nowMs });
      this.#reportChanges(service, plan);
    }
    return plan;
  }

  /** Unreachable data centres have no part in it. */
  #listLoads(candidates: readonly Candidate[], nowMs: number) {
    const usable = candidates.filter(
      ({ suspectUntilMs, isRateOpen }) => suspectUntilMs <= nowMs && isRateOpen,
    );
    const { load, settings } = this.#parts;
    const senders = [
      { dataCentre: settings.dataCentre, open: load.listOwnInFlight() },
      ...load.listCurrentMessages(nowMs),
    ];
    const ids = new Set(candidates.map(({ entry }) => entry.id));
    const demands = new Map<string, number>();
    senders.forEach(({ dataCentre, open }) => {
      const sent = Object.entries(open)
        .filter(([id]) => ids.has(id))
        .reduce((sum, [, { online }]) => sum + online, 0);
      demands.set(dataCentre, (demands.get(dataCentre) ?? 0) + sent);
    });
    const groups = groupBy(usable, ({ entry }) => entry.dataCentre);
    return [...groups].map(([dataCentre, group]) => ({
      dataCentre,
      demand: demands.get(dataCentre) ?? 0,
      slots: countSlots(group),
    }));
  }

  #reportChanges(service: string, plan: LeavingPlan): void {
    const told = [...this.#told.keys()]
      .filter((key) => key.startsWith(`${service}/`))
      .map((key) => key.slice(service.length + 1));
    const planned = plan.shares.map(({ dataCentre }) => dataCentre);
    new Set([...told, ...planned]).forEach((to) => {
      const key = `${service}/${to}`;
      const share =
        plan.shares.find(({ dataCentre }) => dataCentre === to)?.share ?? 0;
      const before = this.#told.get(key) ?? 0;
      const isChange = (share === 0) !== (before === 0);
      if (isChange || Math.abs(share - before) >= LEAVING.TOLD_SHARE) {
        this.#told.set(key, share);
        this.onChange(service, to, share, plan);
      }
    });
  }
}

/** Counts slots as those of usual upstreams. */
function countSlots(candidates: readonly Candidate[]): number {
  return candidates.reduce(
    (sum, { entry, slowness = 1 }) => sum + entry.slots / slowness,
    0,
  );
}
