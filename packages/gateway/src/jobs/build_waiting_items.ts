import type { CallDialect } from "../dialect/types.ts";
import { LastConnection } from "../exchange/last_connection.ts";
import { describeItem } from "./describe_item.ts";
import type { LoadedJob } from "./owned_job.ts";
import type { WaitingItem } from "./types.ts";

/** Builds a job's items that are not listed yet, as they wait for upstreams. */
export function buildWaitingItems(
  { job, items, claim, listed, texts }: LoadedJob,
  dialect: CallDialect,
): readonly WaitingItem[] {
  return [...items]
    .filter(([index]) => !listed.includes(index))
    .map(([index, item]) => {
      const text = texts.get(index);
      return {
        jobId: job.id,
        index,
        dueAtMs: claim.dueAtMs,
        ranMs: text?.ranMs ?? 0,
        item,
        ...describeItem(item, dialect),
        text: text ?? { texts: [], lastEventId: undefined },
        failures: 0,
        tried: new Set<string>(),
        lastConnection: new LastConnection(),
        notBeforeMs: 0,
      };
    });
}
