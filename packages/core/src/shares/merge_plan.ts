import type { Share } from "../limits/types.ts";
import type { Table } from "../shared/types.ts";
import { listReductions } from "./list_reductions.ts";
import type { GroupRecord, Plan, ShareEntry, ShareTable } from "./types.ts";

type Part = keyof Share;

/**
 * Builds the record for a plan. A limit stays unchanged if any holder has not
 * agreed to its reduction; in other limits, shares are increased only as far as
 * their sum stays within the limit.
 */
export function mergePlan(
  limits: GroupRecord["limits"],
  plan: Plan,
  kept: Table<Table<Share>>,
): GroupRecord["limits"] {
  const reductions = listReductions(limits, plan);
  const hasAgreement = (customer: string): boolean =>
    Object.entries(reductions).every(
      ([id, shares]) =>
        shares[customer] === undefined || kept[id]?.[customer] !== undefined,
    );
  const merged = Object.entries(plan).map(([customer, planned]) => {
    if (!hasAgreement(customer)) {
      return [customer, limits[customer] ?? {}] as const;
    }
    const held = Object.entries(limits[customer] ?? {}).map(([id, entry]) => {
      const share = kept[id]?.[customer] ?? entry;
      const { rate, burst } = share;
      return [id, { number: entry.number, rate, burst }] as const;
    });
    return [customer, addIncreases(Object.fromEntries(held), planned)] as const;
  });
  return Object.fromEntries(merged);
}

function addIncreases(held: ShareTable, planned: ShareTable): ShareTable {
  const rate = measureAvailableFraction(held, planned, "rate");
  const burst = measureAvailableFraction(held, planned, "burst");
  const ids = [...new Set([...Object.keys(held), ...Object.keys(planned)])];
  const entries = ids.flatMap(
    (id): readonly (readonly [string, ShareEntry])[] => {
      const number = planned[id]?.number ?? held[id]?.number ?? 0;
      const entry = {
        number,
        rate:
          (held[id]?.rate ?? 0) +
          rate * measureIncrease(held, planned, { id, part: "rate" }),
        burst:
          (held[id]?.burst ?? 0) +
          burst * measureIncrease(held, planned, { id, part: "burst" }),
      };
      return entry.rate > 0 || entry.burst > 0 ? [[id, entry]] : [];
    },
  );
  return Object.fromEntries(entries);
}

/** Fraction of the planned increases that fits the limit, between 0 and 1. */
function measureAvailableFraction(
  held: ShareTable,
  planned: ShareTable,
  part: Part,
): number {
  const sum = Object.values(held).reduce((all, entry) => all + entry[part], 0);
  const increases = Object.keys(planned).reduce(
    (all, id) => all + measureIncrease(held, planned, { id, part }),
    0,
  );
  return increases === 0 ? 0 : Math.max(0, Math.min(1, (1 - sum) / increases));
}

function measureIncrease(
  held: ShareTable,
  planned: ShareTable,
  { id, part }: { readonly id: string; readonly part: Part },
): number {
  return Math.max(0, (planned[id]?.[part] ?? 0) - (held[id]?.[part] ?? 0));
}
