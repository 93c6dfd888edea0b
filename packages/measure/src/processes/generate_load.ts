import { drawRandom } from "@gooseberryline/core";
import type { ProcessFleet } from "./process_fleet.ts";
import { sendCall } from "./send_call.ts";
import type { CallResult } from "./types.ts";

const MS_PER_SECOND = 1_000;

/** Load that runs until it is stopped. */
export type Load = {
  /** Instances that the balancer leaves out at present. */
  readonly left: Set<string>;
  /** Stops sending; resolves when every call has ended. */
  readonly stop: () => Promise<readonly CallResult[]>;
};

/** Sends requests of all customers to instances in turn. */
export function generateLoad(
  fleet: ProcessFleet,
  customers: readonly string[],
  { rate, seed }: { readonly rate: number; readonly seed: number },
): Load {
  const left = new Set<string>();
  const open = new Set<Promise<void>>();
  const results: CallResult[] = [];
  const control = { seed, count: 0, isStopped: false };
  const draw = (): number => {
    const { value, seed: next } = drawRandom(control.seed);
    control.seed = next;
    return value;
  };
  const pick = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(draw() * values.length)] as Value;
  const send = async (): Promise<void> => {
    control.count += 1;
    const instanceId = pick(fleet.instanceIds.filter((id) => !left.has(id)));
    const customer = pick(customers);
    const profile = draw() < 0.3 ? "order" : "stock";
    const mark = `call-${control.count}`;
    const sentMs = Date.now();
    const end = await sendCall(fleet.callerUrl(instanceId), {
      instanceId,
      customer,
      mark,
      isStream: draw() < 0.5,
      profile,
    });
    const isIdempotent = profile === "stock";
    const endedMs = Date.now();
    results.push({ mark, customer, isIdempotent, sentMs, endedMs, end });
  };
  const next = (): void => {
    if (control.isStopped) {
      return;
    }
    const call = send().finally(() => open.delete(call));
    open.add(call);
    const gapMs = (-Math.log(1 - draw()) / rate) * MS_PER_SECOND;
    setTimeout(next, gapMs);
  };
  next();
  return {
    left,
    stop: async () => {
      control.isStopped = true;
      await Promise.all(open);
      return results;
    },
  };
}
