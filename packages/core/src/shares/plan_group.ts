import type { InstanceState } from "../instance/types.ts";
import type { Share } from "../limits/types.ts";
import type { Table } from "../shared/types.ts";
import { buildGroupKey } from "./build_group_key.ts";
import { divideLimit } from "./divide_limit.ts";
import type { Holder, Plan, ShareTable } from "./types.ts";

/** Minimum fraction of a limit that a plan must move to change the shares. */
const MIN_MOVED_FRACTION = 0.1;

/**
 * Plans a group's division. Entries of instance numbers that are not live stay
 * unchanged: only a take-over after the fence wait may change them.
 */
export function planGroup(
  state: InstanceState,
  groupId: string,
  holders: readonly Holder[],
): Plan {
  const customers = Object.entries(state.config?.document.customers ?? {});
  const record = state.shares.groups[groupId]?.record;
  const planned = customers
    .filter(([customer]) => buildGroupKey(customer) === groupId)
    .map(([customer, { burst }]) => {
      const current = record?.limits[customer] ?? {};
      const demand = state.shares.demandReports[customer] ?? {};
      return [
        customer,
        planLimit(customer, { burst, current, holders, demand }),
      ] as const;
    });
  return { ...record?.limits, ...Object.fromEntries(planned) };
}

function planLimit(
  customer: string,
  {
    burst,
    current,
    holders,
    demand,
  }: {
    readonly burst: number;
    readonly current: ShareTable;
    readonly holders: readonly Holder[];
    readonly demand: Table<number>;
  },
): ShareTable {
  const retained = Object.entries(current).filter(
    ([id, { number }]) =>
      !holders.some(
        (holder) => holder.instanceId === id && holder.number === number,
      ),
  );
  const retainedIds = new Set(retained.map(([id]) => id));
  const free = retained.reduce<Share>(
    (left, [, { rate, burst: part }]) => ({
      rate: Math.max(0, left.rate - rate),
      burst: Math.max(0, left.burst - part),
    }),
    { rate: 1, burst: 1 },
  );
  const eligible = holders.filter(
    ({ instanceId }) => !retainedIds.has(instanceId),
  );
  if (eligible.length === 0) {
    return current;
  }
  const target = divideLimit(customer, {
    burst: Math.max(1, burst * free.burst),
    holders: eligible,
    demand,
    current,
  });
  const entries = eligible.flatMap(({ instanceId, number }) => {
    const share = target[instanceId];
    return share === undefined
      ? []
      : [
          [
            instanceId,
            {
              number,
              rate: share.rate * free.rate,
              burst: share.burst * free.burst,
            },
          ] as const,
        ];
  });
  const planned = {
    ...Object.fromEntries(retained),
    ...Object.fromEntries(entries),
  };
  return measureMovedFraction(current, planned) < MIN_MOVED_FRACTION
    ? current
    : planned;
}

/** Returns the fraction of a limit that moves to another holder. */
function measureMovedFraction(
  current: ShareTable,
  planned: ShareTable,
): number {
  const ids = Object.keys(planned);
  const measureGains = (part: keyof Share): number =>
    ids.reduce((sum, id) => {
      const gain = (planned[id]?.[part] ?? 0) - (current[id]?.[part] ?? 0);
      return sum + Math.max(0, gain);
    }, 0);
  return Math.max(measureGains("rate"), measureGains("burst"));
}
