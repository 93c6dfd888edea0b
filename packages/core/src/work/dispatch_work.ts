import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { startItems } from "../jobs/start_items.ts";
import { chooseUpstream } from "../upstreams/choose_upstream.ts";
import { startAttempt } from "./start_attempt.ts";
import type { Work } from "./types.ts";

/** Starts queued work wherever an upstream has a free place. */
export function dispatchWork(state: InstanceState, nowMs: number): Step {
  const start: Step = { state, effects: [] };
  const online = state.queue.reduce((step, workId) => {
    const work = step.state.works[workId];
    return work === undefined
      ? step
      : chainStep(step, (at) => startQueued(at, work, nowMs));
  }, start);
  return chainStep(online, (at) => startItems(at, nowMs));
}

function startQueued(state: InstanceState, work: Work, nowMs: number): Step {
  const upstream = chooseUpstream(state.upstreams, work.order.service);
  if (upstream === undefined) {
    return { state, effects: [] };
  }
  const queue = state.queue.filter((id) => id !== work.order.workId);
  return startAttempt({ ...state, queue }, work, { upstream, nowMs });
}
