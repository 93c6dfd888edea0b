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
import { chooseItem, type ItemChoice } from "./choose_item.ts";
import { chooseSpare } from "./choose_spare.ts";
import { listServices } from "./list_services.ts";
import { measureUrgency } from "./measure_urgency.ts";
import { recordItemStarted } from "./record_item_started.ts";

/** Starts batch items while slots are spare above the online reserve. */
export function startItems(state: InstanceState, nowMs: number): Step {
  const start: Step = { state, effects: [] };
  return state.isStopping
    ? start
    : listServices(state)
        .filter((service) => state.queues.services[service] === undefined)
        .reduce((step, service) => fillService(step, service, nowMs), start);
}

function fillService(step: Step, service: ServiceName, nowMs: number): Step {
  const spare = chooseSpare(step.state, service, nowMs);
  if (spare.any === undefined) {
    return step;
  }
  const isFixedAllowed = spare.forFixed !== undefined;
  const choice = chooseItem(step.state, service, { nowMs, isFixedAllowed });
  const upstream =
    choice?.spec.isIdempotent === false ? spare.forFixed : spare.any;
  if (choice === undefined || upstream === undefined) {
    return step;
  }
  const next = chainStep(step, (state) =>
    startItem(state, choice, { upstream, nowMs }),
  );
  return fillService(next, service, nowMs);
}

function startItem(
  state: InstanceState,
  choice: ItemChoice,
  { upstream, nowMs }: { readonly upstream: Upstream; readonly nowMs: number },
): Step {
  const work = buildItemWork(choice, nowMs);
  const { customer, service, costTokens } = work.order;
  const marked = recordItemStarted(state, choice.segment, choice.index);
  const charged = addCharge(marked, {
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
  const attemptCount = segment.tries[index - segment.first] ?? 0;
  return createWork(order, { nowMs, attemptCount });
}
