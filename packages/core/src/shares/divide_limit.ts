import type { Share } from "../limits/types.ts";
import { hashText } from "../shared/hash_text.ts";
import type { Table } from "../shared/types.ts";
import type { Holder } from "./types.ts";

/** Part of each weight that is the same for all, whatever the demand. */
const EVEN_PART = 0.1;
/** Part of a data centre's share that its first holder gets. */
const FIRST_HOLDER_PART = 0.7;
/** Tokens from which a data centre has a second holder. */
const SECOND_HOLDER_TOKENS = 12;
/** Tokens of a limit for each data centre that holds a reserve. */
const RESERVE_TOKENS = 4;

/** Who may hold a part, and what speaks for each. */
type DivideWish = {
  readonly holders: readonly Holder[];
  /** Requests a second by instance. */
  readonly demand: Table<number>;
  /** Present holders, who come first among equals. */
  readonly current: Table<Share>;
};

type Weighed = { readonly holder: Holder; readonly weight: number };
type Place = {
  readonly weighed: readonly Weighed[];
  readonly weight: number;
};

/**
 * Divides a limit by demand: most of it to the instance that needs most, a
 * reserve of at least a whole token to other data centres. A limit of few
 * tokens has few holders, since parts of a token admit nothing.
 */
export function divideLimit(
  customer: string,
  {
    burst,
    ...wish
  }: DivideWish & {
    /** Tokens to divide. */
    readonly burst: number;
  },
): Table<Share> {
  const places = rankPlaces(customer, wish);
  const count = Math.max(1, Math.floor(burst / RESERVE_TOKENS) + 1);
  const held = places.slice(0, burst < RESERVE_TOKENS ? 1 : count);
  const all = held.reduce((sum, { weight }) => sum + weight, 0);
  const rest = Math.max(0, burst - held.length);
  const entries = held.flatMap((place) => {
    const rate = place.weight / all;
    const tokens = Math.min(burst, 1 + rest * rate);
    return dividePlace(place, { rate, burst: tokens / burst, tokens });
  });
  return Object.fromEntries(entries);
}

function dividePlace(
  { weighed }: Place,
  { rate, burst, tokens }: Share & { readonly tokens: number },
): readonly (readonly [string, Share])[] {
  const [first, second] = weighed.map(({ holder }) => holder.instanceId);
  if (first === undefined) {
    return [];
  }
  if (second === undefined || tokens < SECOND_HOLDER_TOKENS) {
    return [[first, { rate, burst }]];
  }
  const firstPart = FIRST_HOLDER_PART;
  const secondPart = 1 - FIRST_HOLDER_PART;
  return [
    [first, { rate: rate * firstPart, burst: burst * firstPart }],
    [second, { rate: rate * secondPart, burst: burst * secondPart }],
  ];
}

/** Data centres and their holders, each with the heaviest first. */
function rankPlaces(
  customer: string,
  { holders, demand, current }: DivideWish,
): readonly Place[] {
  const total = holders.reduce(
    (sum, { instanceId }) => sum + (demand[instanceId] ?? 0),
    0,
  );
  const even = (total > 0 ? total * EVEN_PART : 1) / holders.length;
  const weighed = holders
    .map((holder) => ({
      holder,
      weight: even + (demand[holder.instanceId] ?? 0),
      bonus: current[holder.instanceId] === undefined ? 0 : even,
      order: hashText(`${customer}|${holder.instanceId}`),
    }))
    .sort(
      (a, b) => b.weight + b.bonus - a.weight - a.bonus || b.order - a.order,
    );
  const names = [...new Set(holders.map(({ dataCentre }) => dataCentre))];
  return names
    .map((name) => {
      const there = weighed.filter(({ holder }) => holder.dataCentre === name);
      const weight = there.reduce((sum, one) => sum + one.weight, 0);
      return { weighed: there, weight, order: hashText(`${customer}|${name}`) };
    })
    .sort((a, b) => b.weight - a.weight || b.order - a.order);
}
