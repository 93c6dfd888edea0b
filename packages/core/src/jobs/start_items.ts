import type { ServiceName, WorkId } from "../ids/types.ts";
import { chainStep } from "../instance/chain_step.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { addCharge } from "../queue/add_charge.ts";
import { setSharded } from "../sharded/set_sharded.ts";
import type { Upstream } from "../upstreams/types.ts";
import { createWork } from "../work/create_work.ts";
import { startAttempt } from "../work/start_attempt.ts";
import { LANES, type Work, type WorkOrder } from "../work/types.ts";
import { buildBatchQueueName } from "./build_batch_queue_name.ts";
import { chooseBatchUpstreams } from "./choose_batch_upstreams.ts";
import { chooseItem, type ItemChoice } from "./choose_item.ts";
import { listServices } from "./list_services.ts";
import { measureUrgency } from "./measure_urgency.ts";
import { recordItemStarted } from "./record_item_started.ts";

/**
 * Starts batch items of services without queued online work, while more slots
 * are free than are reserved for online requests.
 */
export function startItems(state: InstanceState, nowMs: number): Step {
  const start: Step = { state, effects: [] };
  return state.isStopping
    ? start
    : listServices(state)
        .filter((service) => state.queues.services[service] === undefined)
        .reduce(
          (step, service) => startServiceItems(step, service, nowMs),
          start,
        );
}

function startServiceItems(
  step: Step,
  service: ServiceName,
  nowMs: number,
): Step {
  const upstreams = chooseBatchUpstreams(step.state, service, nowMs);
  if (upstreams.forIdempotent === undefined) {
    return step;
  }
  const isNonIdempotentAllowed = upstreams.forNonIdempotent !== undefined;
  const choice = chooseItem(step.state, service, {
    nowMs,
    isNonIdempotentAllowed,
  });
  const upstream =
    choice?.spec.isIdempotent === false
      ? upstreams.forNonIdempotent
      : upstreams.forIdempotent;
  if (choice === undefined || upstream === undefined) {
    return step;
  }
  const next = chainStep(step, (state) =>
    startItem(state, choice, { upstream, nowMs }),
  );
  return startServiceItems(next, service, nowMs);
}

function startItem(
  state: InstanceState,
  choice: ItemChoice,
  { upstream, nowMs }: { readonly upstream: Upstream; readonly nowMs: number },
): Step {
  const work = buildItemWork(choice, nowMs);
  const { customer, service, costTokens } = work.order;
  const started = recordItemStarted(state, choice.segment, choice.index);
  const charged = addCharge(started, {
    queue: buildBatchQueueName(service),
    customer,
    costTokens: costTokens / measureUrgency(choice.spec, nowMs),
  });
  const works = setSharded(charged.works, work.order.workId, work);
  return startAttempt({ ...charged, works }, work, { upstream, nowMs });
}

function buildItemWork(
  { spec, segment, index }: ItemChoice,
  nowMs: number,
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
  const attemptCount = segment.attemptCounts[index - segment.first] ?? 0;
  return createWork(order, { nowMs, attemptCount });
}
