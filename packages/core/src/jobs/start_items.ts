import type { WorkId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { chooseUpstream } from "../upstreams/choose_upstream.ts";
import { createWork } from "../work/create_work.ts";
import { startAttempt } from "../work/start_attempt.ts";
import { LANES, type Work, type WorkOrder } from "../work/types.ts";
import { findStartableItem } from "./find_startable_item.ts";
import { noteItemStarted } from "./note_item_started.ts";
import type { JobSpec, Segment } from "./types.ts";

/** Starts batch items, earliest due job first, while places are free. */
export function startItems(state: InstanceState, nowMs: number): Step {
  if (state.isStopping || Object.keys(state.queues.services).length > 0) {
    return { state, effects: [] };
  }
  const names = Object.entries(state.jobs.owned)
    .map(([name, { jobId }]) => ({
      name,
      dueMs: state.jobs.known[jobId]?.record.spec.dueMs ?? 0,
    }))
    .sort((a, b) => a.dueMs - b.dueMs)
    .map(({ name }) => name);
  const start: Step = { state, effects: [] };
  return names.reduce((step, name) => fillFrom(step, name, nowMs), start);
}

function fillFrom(step: Step, name: string, nowMs: number): Step {
  const segment = step.state.jobs.owned[name];
  const spec = step.state.jobs.known[segment?.jobId ?? ""]?.record.spec;
  if (segment === undefined || spec === undefined) {
    return step;
  }
  const index = findStartableItem(step.state, segment, nowMs);
  const upstream = chooseUpstream(step.state.upstreams, spec.service);
  if (index === undefined || upstream === undefined) {
    return step;
  }
  const next = chainStep(step, (state) => {
    const work = buildItemWork(spec, segment, { index, nowMs });
    const marked = noteItemStarted(state, segment, index);
    const works = setSharded(marked.works, work.order.workId, work);
    return startAttempt({ ...marked, works }, work, { upstream, nowMs });
  });
  return fillFrom(next, name, nowMs);
}

function buildItemWork(
  spec: JobSpec,
  { first, tries }: Segment,
  { index, nowMs }: { readonly index: number; readonly nowMs: number },
): Work {
  const order: WorkOrder = {
    workId: `${spec.jobId}/${index}` as WorkId,
    origin: { kind: "item", jobId: spec.jobId, index },
    lane: LANES.BATCH,
    customer: spec.customer,
    keyId: spec.keyId,
    profile: spec.profile,
    service: spec.service,
    isIdempotent: spec.isIdempotent,
    costTokens: spec.itemCostTokens,
    prefixHash: 0,
    deadlineMs: Number.POSITIVE_INFINITY,
  };
  return createWork(order, { nowMs, attemptCount: tries[index - first] ?? 0 });
}
