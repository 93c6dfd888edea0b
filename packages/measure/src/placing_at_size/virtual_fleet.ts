import {
  drawRandom,
  SPEED_MEASURES,
  type UpstreamEntry,
} from "@gooseberryline/core";
import type { FleetView } from "@gooseberryline/gateway";
import type { PlacingCounts, PlacingOptions } from "./types.ts";
import { VirtualClock } from "./virtual_clock.ts";
import { VirtualUpstream } from "./virtual_upstream.ts";

const SLOTS = 8;
/** Time between two events at a usual upstream, in ms. */
const USUAL_EVENT_MS = 30;
/** Spread of measured times, in powers of two. */
const PACE_NOISE = 1;

/** What the instances of a simulated fleet share. */
export class VirtualFleet {
  readonly options: PlacingOptions;
  readonly clock: VirtualClock;
  readonly upstreams: ReadonlyMap<string, VirtualUpstream>;
  readonly counts: PlacingCounts = {
    requests: 0,
    attempts: 0,
    crowded: 0,
    late: 0,
    waitMs: 0,
    crossed: 0,
    itemRuns: 0,
    itemsDone: 0,
    itemsMs: 0,
    itemsLate: 0,
    cut: 0,
    cutInVain: 0,
    itemsCrowded: 0,
    messages: 0,
  };
  #seed: number;

  constructor(options: PlacingOptions) {
    this.options = options;
    this.clock = new VirtualClock(options.onTime);
    this.#seed = options.seed;
    this.upstreams = new Map(
      Array.from({ length: options.upstreams }, (_, n) => {
        const entry = createEntry(n, options.dataCentres);
        const { speeds = [1], slowFactor = 1 } = options;
        const speed =
          speeds[Math.floor(n / options.dataCentres) % speeds.length];
        const pace = { speed: speed ?? 1, slowFactor, phase: this.draw() };
        return [
          entry.id,
          new VirtualUpstream(entry, pace, this.clock),
        ] as const;
      }),
    );
  }

  /** Draws a number in [0, 1). */
  draw(): number {
    const { value, seed } = drawRandom(this.#seed);
    this.#seed = seed;
    return value;
  }

  /** Draws the time to the next of events that are independent, in ms. */
  drawGapMs(perSecond: number): number {
    return (-Math.log(1 - this.draw()) * 1_000) / perSecond;
  }

  /** Has an instance learn an upstream's speed from one of its answers. */
  recordPace(view: FleetView, entry: UpstreamEntry, slowness: number): void {
    if (this.options.isSpeedBlind !== true) {
      const noise = 2 ** ((this.draw() - 0.5) * PACE_NOISE);
      const like = {
        measure: SPEED_MEASURES.event,
        service: entry.service,
        tokens: undefined,
        load: 0,
      };
      const eventMs = USUAL_EVENT_MS * slowness * noise;
      view.speeds.recordTime(entry, like, eventMs, this.clock.nowMs);
    }
  }

  getUpstream(id: string): VirtualUpstream {
    const upstream = this.upstreams.get(id);
    if (upstream === undefined) {
      throw new Error(`there is no upstream ${id}`);
    }
    return upstream;
  }
}

function createEntry(n: number, dataCentres: number): UpstreamEntry {
  return {
    id: `u${n}`,
    service: "s",
    address: `10.0.0.${n}:1`,
    dataCentre: `dc${n % dataCentres}`,
    slots: SLOTS,
    isDraining: false,
    coldUntilMs: 0,
  };
}
