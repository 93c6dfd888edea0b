import type { InstanceId } from "../ids/types.ts";
import { chainAll } from "../instance/chain_all.ts";
import type { InstanceState, Step } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import { requeueBatch } from "../work/requeue_batch.ts";
import { SLOT_TIMES } from "./slot_times.ts";
import type { SlotGrant, SlotGrants } from "./types.ts";

/** Adopts grants of the current slot owner and requeues excess batch work. */
export function adoptGrants(
  state: InstanceState,
  from: InstanceId,
  { message, nowMs }: { readonly message: SlotGrants; readonly nowMs: number },
): Step {
  const entry = Object.entries(state.slots.links).find(
    ([, { ownerId }]) => ownerId === from,
  );
  if (entry === undefined || message.sentMs < entry[1].echoMs) {
    return { state, effects: [] };
  }
  const [dataCentre, before] = entry;
  const { term, sentMs: echoMs } = message;
  const link = { ...before, term, echoMs, lastSeenMs: nowMs };
  const links = setEntry(state.slots.links, dataCentre, link);
  const linked = { ...state, slots: { ...state.slots, links } };
  return chainAll(linked, message.grants, (current, grant) =>
    adoptGrant(current, grant, { message, nowMs }),
  );
}

function adoptGrant(
  state: InstanceState,
  grant: SlotGrant,
  { message, nowMs }: { readonly message: SlotGrants; readonly nowMs: number },
): Step {
  const upstream = state.upstreams[grant.upstreamId];
  const isOlder =
    upstream?.grantTerm === message.term && grant.number < upstream.grantNumber;
  // The owner did not know of the last failure if it answered an older report.
  if (
    upstream === undefined ||
    isOlder ||
    message.reportMs < upstream.lastErrorMs
  ) {
    return { state, effects: [] };
  }
  // The owner can reassign freed slots only once a report acknowledges the
  // smaller grant.
  const isAckDue = grant.slots < upstream.allowance || upstream.isAckDue;
  const upstreams = setEntry(state.upstreams, grant.upstreamId, {
    ...upstream,
    allowance: grant.slots,
    allowanceUntilMs: message.reportMs + SLOT_TIMES.GRANT_MS,
    grantTerm: message.term,
    grantNumber: grant.number,
    knownAllowance: grant.allowance,
    isAckDue,
  });
  const isReportDue = state.slots.isReportDue || isAckDue;
  const adopted = {
    ...state,
    upstreams,
    slots: { ...state.slots, isReportDue },
  };
  const excess = upstream.inFlight - grant.slots;
  return requeueBatch(adopted, grant.upstreamId, { count: excess, nowMs });
}
