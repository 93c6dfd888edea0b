import type { ListedInstance } from "@gooseberryline/core";
import type { Platform } from "@gooseberryline/protocol";

const POLL_MS = 5_000;
const FIRST_POLLS_MS = 500;
const FIRST_POLLS = 10;

/** A list of instances; whole where the platform gave it. */
export type InstanceList = {
  readonly instances: readonly ListedInstance[];
  readonly isWhole: boolean;
};

/** What the poll needs of the rest of the daemon. */
export type PollParts = {
  readonly platform: Platform;
  /** Addresses of peers to ask while the platform gives no list. */
  readonly seeds: readonly string[];
  readonly askMembers: (address: string) => Promise<readonly ListedInstance[]>;
  readonly offer: (list: InstanceList) => void;
};

/** A running poll. */
export type InstancePoll = { readonly stop: () => void };

/**
 * Polls the platform's list of instances. While it gives none, the seeds are
 * asked for the members that they know. The first polls come faster, so that
 * instances started together find each other soon.
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
    const delayMs = control.count < FIRST_POLLS ? FIRST_POLLS_MS : POLL_MS;
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
  askMembers,
}: PollParts): Promise<InstanceList> {
  const listed = await platform.listInstances().catch(() => []);
  if (listed.length > 0) {
    return { instances: listed, isWhole: true };
  }
  const asked = seeds.map((address) => askMembers(address).catch(() => []));
  const instances = (await Promise.all(asked)).flat();
  return { instances, isWhole: false };
}
