import type { Share } from "../limits/types.ts";
import { hashText } from "../shared/hash_text.ts";
import type { Table } from "../shared/types.ts";
import type { Holder } from "./types.ts";

/** Fraction of the total demand that is spread evenly over all holders. */
const EVEN_FRACTION = 0.1;
/** Fraction of a data centre's share that its first holder receives. */
const FIRST_HOLDER_FRACTION = 0.7;
/** Minimum tokens of a data centre for it to have a second holder. */
const SECOND_HOLDER_TOKENS = 12;
/** Tokens of a limit required per additional data centre with a reserve. */
const RESERVE_TOKENS = 4;

/** The candidate holders of a limit and the inputs that weigh them. */
type DivisionInput = {
  readonly holders: readonly Holder[];
  /** Requests per second by instance. */
  readonly demand: Table<number>;
  /** Shares of the current holders, which are preferred among equals. */
  readonly current: Table<Share>;
};

type WeighedHolder = { readonly holder: Holder; readonly weight: number };
type WeighedDataCentre = {
  readonly weighed: readonly WeighedHolder[];
  readonly weight: number;
};

/**
 * Divides a limit by demand: the largest part goes to the instance with the
 * highest demand, and other data centres get a reserve of at least one token.
 * A small limit has few holders, since a fraction of a token admits no request.
 */
export function divideLimit(
  customer: string,
  {
    burst,
    ...input
  }: DivisionInput & {
    /** Tokens to divide. */
    readonly burst: number;
  },
): Table<Share> {
  const ranked = rankDataCentres(customer, input);
  const count = Math.max(1, Math.floor(burst / RESERVE_TOKENS) + 1);
  const chosen = ranked.slice(0, burst < RESERVE_TOKENS ? 1 : count);
  const totalWeight = chosen.reduce((sum, { weight }) => sum + weight, 0);
  const rest = Math.max(0, burst - chosen.length);
  const entries = chosen.flatMap((dataCentre) => {
    const rate = dataCentre.weight / totalWeight;
    const tokens = Math.min(burst, 1 + rest * rate);
    return divideWithinDataCentre(dataCentre, {
      rate,
      burst: tokens / burst,
      tokens,
    });
  });
  return Object.fromEntries(entries);
}

function divideWithinDataCentre(
  { weighed }: WeighedDataCentre,
  { rate, burst, tokens }: Share & { readonly tokens: number },
): readonly (readonly [string, Share])[] {
  const [first, second] = weighed.map(({ holder }) => holder.instanceId);
  if (first === undefined) {
    return [];
  }
  if (second === undefined || tokens < SECOND_HOLDER_TOKENS) {
    return [[first, { rate, burst }]];
  }
  const firstFraction = FIRST_HOLDER_FRACTION;
  const secondFraction = 1 - FIRST_HOLDER_FRACTION;
  return [
    [first, { rate: rate * firstFraction, burst: burst * firstFraction }],
    [second, { rate: rate * secondFraction, burst: burst * secondFraction }],
  ];
}

/** Ranks data centres, and the holders within each, by descending weight. */
function rankDataCentres(
  customer: string,
  { holders, demand, current }: DivisionInput,
): readonly WeighedDataCentre[] {
  const total = holders.reduce(
    (sum, { instanceId }) => sum + (demand[instanceId] ?? 0),
    0,
  );
  const evenWeight = (total > 0 ? total * EVEN_FRACTION : 1) / holders.length;
  const weighed = holders
    .map((holder) => ({
      holder,
      weight: evenWeight + (demand[holder.instanceId] ?? 0),
      bonus: current[holder.instanceId] === undefined ? 0 : evenWeight,
      order: hashText(`${customer}|${holder.instanceId}`),
    }))
    .sort(
      (a, b) => b.weight + b.bonus - a.weight - a.bonus || b.order - a.order,
    );
  const names = [...new Set(holders.map(({ dataCentre }) => dataCentre))];
  return names
    .map((name) => {
      const local = weighed.filter(({ holder }) => holder.dataCentre === name);
      const weight = local.reduce(
        (sum, candidate) => sum + candidate.weight,
        0,
      );
      return { weighed: local, weight, order: hashText(`${customer}|${name}`) };
    })
    .sort((a, b) => b.weight - a.weight || b.order - a.order);
}
