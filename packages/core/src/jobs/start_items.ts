import type { WorkId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import { chooseUpstream } from "../upstreams/choose_upstream.ts";
import { createWork } from "../work/create_work.ts";
import { startAttempt } from "../work/start_attempt.ts";
import { LANES, type Work, type WorkOrder } from "../work/types.ts";
import { setItem } from "./set_item.ts";
import { ITEM_STATES, type Job } from "./types.ts";

/** Starts batch items, earliest due job first, while places are free. */
export function startItems(state: InstanceState, nowMs: number): Step {
  if (state.isStopping || Object.keys(state.queues.services).length > 0) {
    return { state, effects: [] };
  }
  const jobIds = Object.values(state.jobs)
    .filter(({ phase }) => phase === "running")
    .sort((a, b) => a.spec.dueMs - b.spec.dueMs)
    .map(({ spec }) => spec.jobId);
  const start: Step = { state, effects: [] };
  return jobIds.reduce((step, jobId) => fillFromJob(step, jobId, nowMs), start);
}

function fillFromJob(step: Step, jobId: string, nowMs: number): Step {
  const job = step.state.jobs[jobId];
  if (job === undefined) {
    return step;
  }
  const index = job.items.indexOf(ITEM_STATES.PENDING, job.cursor);
  const upstream = chooseUpstream(step.state.upstreams, job.spec.service);
  if (index < 0 || upstream === undefined) {
    return step;
  }
  const next = chainStep(step, (state) => {
    const work = buildItemWork(job, index, nowMs);
    const marked = setItem(
      state,
      { ...job, cursor: index + 1 },
      {
        index,
        itemState: ITEM_STATES.RUNNING,
      },
    );
    const works = setSharded(marked.works, work.order.workId, work);
    return startAttempt({ ...marked, works }, work, { upstream, nowMs });
  });
  return fillFromJob(next, jobId, nowMs);
}

function buildItemWork(job: Job, index: number, nowMs: number): Work {
  const { spec } = job;
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
  return createWork(order, { nowMs, attemptCount: job.tries[index] ?? 0 });
}
