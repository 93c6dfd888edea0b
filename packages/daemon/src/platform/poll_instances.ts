import type { ListedInstance } from "@gooseberryline/core";
import type { Platform } from "@gooseberryline/protocol";

const POLL_INTERVAL_MS = 5_000;
const FIRST_POLL_INTERVAL_MS = 500;
const FIRST_POLLS = 10;

/** A list of instances, complete if it came from the platform. */
export type InstanceList = {
  readonly instances: readonly ListedInstance[];
  readonly isComplete: boolean;
};

/** Dependencies of the poll. */
export type PollParts = {
  readonly platform: Platform;
  /** Addresses of peers to query while the platform returns no list. */
  readonly seeds: readonly string[];
  readonly fetchMembers: (
    address: string,
  ) => Promise<readonly ListedInstance[]>;
  readonly offer: (list: InstanceList) => void;
};

/** A running poll. */
export type InstancePoll = { readonly stop: () => void };

/**
 * Polls the platform's list of instances. While the platform returns none, the
 * seeds are queried for their known members. The first polls use a shorter
 * interval, so that instances started together discover each other quickly.
 */
export function pollInstances(parts: PollParts): InstancePoll {
  const control: { count: number; timer: NodeJS.Timeout | undefined } = {
    count: 0,
    timer: undefined,
  };
  const poll = async (): Promise<void> => {
    const found = await listInstances(parts);
    if (control.count < 0) {
      return;
    }
    if (found.instances.length > 0) {
      parts.offer(found);
    }
    control.count += 1;
    const delayMs =
      control.count < FIRST_POLLS ? FIRST_POLL_INTERVAL_MS : POLL_INTERVAL_MS;
    control.timer = setTimeout(poll, delayMs * (0.9 + Math.random() / 5));
    control.timer.unref();
  };
  void poll();
  return {
    stop: () => {
      control.count = Number.NEGATIVE_INFINITY;
      clearTimeout(control.timer);
    },
  };
}

async function listInstances({
  platform,
  seeds,
  fetchMembers,
}: PollParts): Promise<InstanceList> {
  const listed = await platform.listInstances().catch(() => []);
  if (listed.length > 0) {
    return { instances: listed, isComplete: true };
  }
  const pendingLists = seeds.map((address) =>
    fetchMembers(address).catch(() => []),
  );
  const instances = (await Promise.all(pendingLists)).flat();
  return { instances, isComplete: false };
}
