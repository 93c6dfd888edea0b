import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { startItems } from "../jobs/start_items.ts";
import { addCharge } from "../queue/add_charge.ts";
import { dropQueued } from "../queue/drop_queued.ts";
import { findNext } from "../queue/find_next.ts";
import { getSharded } from "../sharded/get_sharded.ts";
import { chooseUpstream } from "../upstreams/choose_upstream.ts";
import { startAttempt } from "./start_attempt.ts";

/** Starts queued work wherever an upstream has a free place. */
export function dispatchWork(state: InstanceState, nowMs: number): Step {
  const start: Step = { state, effects: [] };
  const services = Object.keys(state.queues.services);
  const online = services.reduce(
    (step, service) => startQueued(step, service, nowMs),
    start,
  );
  return chainStep(online, (at) => startItems(at, nowMs));
}

function startQueued(step: Step, service: string, nowMs: number): Step {
  const { state } = step;
  const workId = findNext(state, service);
  const work =
    workId === undefined ? undefined : getSharded(state.works, workId);
  if (work === undefined) {
    return step;
  }
  const upstream = chooseUpstream(state.upstreams, work.order.service);
  if (upstream === undefined) {
    return step;
  }
  const { customer, costTokens } = work.order;
  const charged = addCharge(dropQueued(state, work), {
    queue: service,
    customer,
    costTokens,
  });
  const started = startAttempt(charged, work, { upstream, nowMs });
  return startQueued(
    { state: started.state, effects: [...step.effects, ...started.effects] },
    service,
    nowMs,
  );
}
