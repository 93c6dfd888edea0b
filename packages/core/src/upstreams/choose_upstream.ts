import type { InstanceState } from "../instance/types.ts";
import { drawRandom } from "../shared/draw_random.ts";
import { hashText } from "../shared/hash_text.ts";
import type { WorkOrder } from "../work/types.ts";
import type { AvailableUpstream } from "./list_available_upstreams.ts";
import type { Upstream } from "./types.ts";

const LOAD_BOUND_FACTOR = 1.25;

/** The chosen upstream, if any, and the seed for the next choice. */
export type UpstreamChoice = {
  readonly upstream: Upstream | undefined;
  readonly seed: number;
};

/**
 * Chooses an upstream with a free slot, in the own data centre if there is
 * one. Work with a prefix hash is placed by prefix affinity with bounded load.
 * Other work goes to the less loaded of two random upstreams.
 */
export function chooseUpstream(
  state: InstanceState,
  available: readonly AvailableUpstream[],
  { prefixHash }: Pick<WorkOrder, "prefixHash">,
): UpstreamChoice {
  const { seed } = state;
  const free = available.filter(
    ({ upstream, slots }) => upstream.inFlight < slots,
  );
  const local = free.filter(
    ({ upstream }) => upstream.dataCentre === state.self.dataCentre,
  );
  const preferred = local.length > 0 ? local : free;
  if (preferred.length <= 1) {
    return { upstream: preferred[0]?.upstream, seed };
  }
  return prefixHash === 0
    ? pickLessLoaded(preferred, seed)
    : { upstream: pickByPrefix(preferred, prefixHash), seed };
}

function pickLessLoaded(
  free: readonly AvailableUpstream[],
  seed: number,
): UpstreamChoice {
  const first = drawRandom(seed);
  const second = drawRandom(first.seed);
  const firstIndex = Math.floor(first.value * free.length);
  const offset = 1 + Math.floor(second.value * (free.length - 1));
  const candidate = free[firstIndex];
  const alternative = free[(firstIndex + offset) % free.length];
  const isCandidateBetter =
    candidate !== undefined &&
    (alternative === undefined ||
      computeLoad(candidate) <= computeLoad(alternative));
  return {
    upstream: isCandidateBetter ? candidate.upstream : alternative?.upstream,
    seed: second.seed,
  };
}

function pickByPrefix(
  free: readonly AvailableUpstream[],
  prefixHash: number,
): Upstream | undefined {
  const total = free.reduce((sum, { upstream }) => sum + upstream.inFlight, 0);
  const bound = Math.ceil((LOAD_BOUND_FACTOR * (total + 1)) / free.length);
  return free
    .filter(({ upstream }) => upstream.inFlight < bound)
    .map(({ upstream }) => ({
      upstream,
      weight: hashText(`${prefixHash}|${upstream.upstreamId}`),
    }))
    .sort((a, b) => b.weight - a.weight)
    .at(0)?.upstream;
}

function computeLoad({ upstream, slots }: AvailableUpstream): number {
  return upstream.inFlight / slots;
}
