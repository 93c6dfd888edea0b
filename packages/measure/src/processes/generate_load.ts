import { drawRandom } from "@gooseberryline/core";
import type { ProcessFleet } from "./process_fleet.ts";
import { sendCall } from "./send_call.ts";
import type { CallResult } from "./types.ts";

const MS_PER_SECOND = 1_000;

/** Load that is generated until it is stopped. */
export type Load = {
  /** Instances to which the simulated load balancer sends no requests. */
  readonly left: Set<string>;
  /** Stops sending; resolves when no call is in flight. */
  readonly stop: () => Promise<readonly CallResult[]>;
};

/** Sends requests with random arrivals, customers and instances. */
export function generateLoad(
  fleet: ProcessFleet,
  customers: readonly string[],
  { rate, seed }: { readonly rate: number; readonly seed: number },
): Load {
  const excludedInstances = new Set<string>();
  const inFlight = new Set<Promise<void>>();
  const results: CallResult[] = [];
  const control = { seed, count: 0, isStopped: false };
  const draw = (): number => {
    const { value, seed: nextSeed } = drawRandom(control.seed);
    control.seed = nextSeed;
    return value;
  };
  const pick = <Value>(values: readonly Value[]): Value =>
    values[Math.floor(draw() * values.length)] as Value;
  const send = async (): Promise<void> => {
    control.count += 1;
    const instanceId = pick(
      fleet.instanceIds.filter((id) => !excludedInstances.has(id)),
    );
    const customer = pick(customers);
    const profile = draw() < 0.3 ? "order" : "stock";
    const callId = `call-${control.count}`;
    const sentMs = Date.now();
    const end = await sendCall(fleet.getCallerUrl(instanceId), {
      instanceId,
      customer,
      callId,
      isStream: draw() < 0.5,
      profile,
    });
    const isIdempotent = profile === "stock";
    const endedMs = Date.now();
    results.push({
      callId,
      customer,
      isIdempotent,
      sentMs,
      endedMs,
      end,
    });
  };
  const sendNext = (): void => {
    if (control.isStopped) {
      return;
    }
    const call = send().finally(() => inFlight.delete(call));
    inFlight.add(call);
    const gapMs = (-Math.log(1 - draw()) / rate) * MS_PER_SECOND;
    setTimeout(sendNext, gapMs);
  };
  sendNext();
  return {
    left: excludedInstances,
    stop: async () => {
      control.isStopped = true;
      await Promise.all(inFlight);
      return results;
    },
  };
}
