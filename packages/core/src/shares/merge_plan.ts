import type { Share } from "../limits/types.ts";
import type { Table } from "../shared/types.ts";
import { listLowered } from "./list_lowered.ts";
import type { GroupRecord, Plan, ShareEntry, ShareTable } from "./types.ts";

type Part = keyof Share;

/**
 * Builds the record that a plan leads to. A limit of which some holder has
 * not agreed to give up its part stays as it is; others are raised only as
 * far as there is room.
 */
export function mergePlan(
  limits: GroupRecord["limits"],
  plan: Plan,
  kept: Table<Table<Share>>,
): GroupRecord["limits"] {
  const lowered = listLowered(limits, plan);
  const isAgreed = (customer: string): boolean =>
    Object.entries(lowered).every(
      ([id, shares]) =>
        shares[customer] === undefined || kept[id]?.[customer] !== undefined,
    );
  const merged = Object.entries(plan).map(([customer, wanted]) => {
    if (!isAgreed(customer)) {
      return [customer, limits[customer] ?? {}] as const;
    }
    const held = Object.entries(limits[customer] ?? {}).map(([id, entry]) => {
      const share = kept[id]?.[customer] ?? entry;
      const { rate, burst } = share;
      return [id, { number: entry.number, rate, burst }] as const;
    });
    return [customer, addRaises(Object.fromEntries(held), wanted)] as const;
  });
  return Object.fromEntries(merged);
}

function addRaises(held: ShareTable, wanted: ShareTable): ShareTable {
  const rate = measureRoom(held, wanted, "rate");
  const burst = measureRoom(held, wanted, "burst");
  const ids = [...new Set([...Object.keys(held), ...Object.keys(wanted)])];
  const entries = ids.flatMap(
    (id): readonly (readonly [string, ShareEntry])[] => {
      const number = wanted[id]?.number ?? held[id]?.number ?? 0;
      const entry = {
        number,
        rate:
          (held[id]?.rate ?? 0) +
          rate * countRaise(held, wanted, { id, part: "rate" }),
        burst:
          (held[id]?.burst ?? 0) +
          burst * countRaise(held, wanted, { id, part: "burst" }),
      };
      return entry.rate > 0 || entry.burst > 0 ? [[id, entry]] : [];
    },
  );
  return Object.fromEntries(entries);
}

/** Part of the wanted raises for which there is room, between 0 and 1. */
function measureRoom(held: ShareTable, wanted: ShareTable, part: Part): number {
  const sum = Object.values(held).reduce((all, entry) => all + entry[part], 0);
  const raises = Object.keys(wanted).reduce(
    (all, id) => all + countRaise(held, wanted, { id, part }),
    0,
  );
  return raises === 0 ? 0 : Math.max(0, Math.min(1, (1 - sum) / raises));
}

function countRaise(
  held: ShareTable,
  wanted: ShareTable,
  { id, part }: { readonly id: string; readonly part: Part },
): number {
  return Math.max(0, (wanted[id]?.[part] ?? 0) - (held[id]?.[part] ?? 0));
}
