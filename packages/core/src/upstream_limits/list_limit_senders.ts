import { rankByRendezvous } from "../shared/rank_by_rendezvous.ts";
import { countLimitExcess } from "./count_limit_excess.ts";

/** Ids of the instances, by what they do. */
export type LimitSpenders = {
  readonly serving: readonly string[];
  readonly running: readonly string[];
};

/**
 * Lists the instances that may send to an upstream with a limit, one that runs
 * items among them if there are several. Each may send at the same moment as the
 * others, so they are no more than the excess allows, whatever the fleet's size.
 */
export function listLimitSenders(
  upstreamId: string,
  { serving, running }: LimitSpenders,
  perSecond: number,
): readonly string[] {
  const { senders: count } = countLimitExcess(perSecond);
  const runnerCount = count > 1 || serving.length === 0 ? 1 : 0;
  const runners = rankByRendezvous(upstreamId, running).slice(0, runnerCount);
  const servers = rankByRendezvous(upstreamId, serving);
  return [...servers.slice(0, count - runners.length), ...runners];
}
