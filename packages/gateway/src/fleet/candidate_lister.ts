import {
  type Candidate,
  estimateUnseen,
  type FleetMember,
  listUnreachableDataCentres,
} from "@gooseberryline/core";
import type { Lane, LoadTracker } from "./load_tracker.ts";
import type { RampTracker } from "./ramp_tracker.ts";
import type { SpeedTracker } from "./speed_tracker.ts";
import type { UpstreamDirectory } from "./upstream_directory.ts";
import type { UpstreamLimitTracker } from "./upstream_limit_tracker.ts";

type CandidateListerParts = {
  /** The own data centre. */
  readonly dataCentre: string;
  readonly directory: UpstreamDirectory;
  readonly load: LoadTracker;
  readonly limits: UpstreamLimitTracker;
  readonly ramps: RampTracker;
  readonly speeds: SpeedTracker;
  readonly listPeers: () => readonly FleetMember[];
  readonly getPeerTimeoutMs: () => number;
  /** Returns the interval of reports, in ms. */
  readonly getIntervalMs: () => number;
  /** Returns the interval of reports in the own data centre, if it differs. */
  readonly getWorkIntervalMs: () => number | undefined;
  readonly getColdRate: (service: string) => number;
  readonly readNowMs: () => number;
};

/** Lists the upstreams of a service with what is known of their load. */
export class CandidateLister {
  readonly #parts: CandidateListerParts;

  constructor(parts: CandidateListerParts) {
    this.#parts = parts;
  }

  list(service: string, lane: Lane): readonly Candidate[] {
    const { dataCentre, directory, load, limits, ramps, speeds } = this.#parts;
    const nowMs = this.#parts.readNowMs();
    const perSecond = this.#parts.getColdRate(service);
    const unreachable = this.#listUnreachableDataCentres(nowMs);
    const known = directory.list(service, nowMs).map((entry) => ({
      entry,
      open: load.countInFlight(entry.id, nowMs),
    }));
    const unseen = this.#estimateUnseen(service, known);
    return known.map(({ entry, open }) => ({
      entry,
      open,
      unseen: entry.dataCentre === dataCentre ? unseen.near : unseen.far,
      suspectUntilMs: unreachable.has(entry.dataCentre)
        ? Number.POSITIVE_INFINITY
        : load.getSuspectUntilMs(entry.id, nowMs),
      slowness: speeds.getSlowness(entry, nowMs),
      isLimited: limits.isLimited(entry.id),
      isRateOpen:
        ramps.canSend(entry, perSecond, nowMs) &&
        limits.canSend(entry.id, lane, nowMs),
    }));
  }

  /** Most of an upstream's requests come from its own data centre. */
  #estimateUnseen(service: string, known: readonly Pick<Candidate, "open">[]) {
    const { load, getIntervalMs, getWorkIntervalMs } = this.#parts;
    const meanServiceMs = load.getMeanServiceTimeMs(service);
    const intervalMs = getIntervalMs();
    const nearMs = getWorkIntervalMs() ?? intervalMs;
    return {
      near: estimateUnseen(known, { intervalMs: nearMs, meanServiceMs }),
      far: estimateUnseen(known, { intervalMs, meanServiceMs }),
    };
  }

  #listUnreachableDataCentres(nowMs: number): ReadonlySet<string> {
    const { load, listPeers, getPeerTimeoutMs } = this.#parts;
    const timeoutMs = getPeerTimeoutMs();
    return listUnreachableDataCentres(listPeers(), (id) =>
      load.hasDirectContact(id, timeoutMs, nowMs),
    );
  }
}
