import type { InstanceState } from "../instance/types.ts";
import { drawRandom } from "../shared/draw_random.ts";
import { hashText } from "../shared/hash_text.ts";
import type { WorkOrder } from "../work/types.ts";
import type { OpenUpstream } from "./list_open.ts";
import type { Upstream } from "./types.ts";

const LOAD_BOUND = 1.25;

/** The upstream chosen, if any, and the seed for the next choice. */
export type UpstreamChoice = {
  readonly upstream: Upstream | undefined;
  readonly seed: number;
};

/**
 * Chooses an upstream with a free slot: of the own data centre where one is,
 * by the prompt's prefix while loads stay even, else the better of two.
 */
export function chooseUpstream(
  state: InstanceState,
  open: readonly OpenUpstream[],
  { prefixHash }: Pick<WorkOrder, "prefixHash">,
): UpstreamChoice {
  const { seed } = state;
  const free = open.filter(({ upstream, slots }) => upstream.inFlight < slots);
  const local = free.filter(
    ({ upstream }) => upstream.dataCentre === state.self.dataCentre,
  );
  const near = local.length > 0 ? local : free;
  if (near.length <= 1) {
    return { upstream: near[0]?.upstream, seed };
  }
  return prefixHash === 0
    ? pickBetter(near, seed)
    : { upstream: pickByPrefix(near, prefixHash), seed };
}

function pickBetter(
  free: readonly OpenUpstream[],
  seed: number,
): UpstreamChoice {
  const first = drawRandom(seed);
  const second = drawRandom(first.seed);
  const at = Math.floor(first.value * free.length);
  const step = 1 + Math.floor(second.value * (free.length - 1));
  const one = free[at];
  const other = free[(at + step) % free.length];
  const isOneBetter =
    one !== undefined &&
    (other === undefined || measureLoad(one) <= measureLoad(other));
  return {
    upstream: isOneBetter ? one.upstream : other?.upstream,
    seed: second.seed,
  };
}

function pickByPrefix(
  free: readonly OpenUpstream[],
  prefixHash: number,
): Upstream | undefined {
  const total = free.reduce((sum, { upstream }) => sum + upstream.inFlight, 0);
  const bound = Math.ceil((LOAD_BOUND * (total + 1)) / free.length);
  return free
    .filter(({ upstream }) => upstream.inFlight < bound)
    .map(({ upstream }) => ({
      upstream,
      weight: hashText(`${prefixHash}|${upstream.upstreamId}`),
    }))
    .sort((a, b) => b.weight - a.weight)
    .at(0)?.upstream;
}

function measureLoad({ upstream, slots }: OpenUpstream): number {
  return upstream.inFlight / slots;
}
