import type { InstanceId } from "../ids/types.ts";
import type { InstanceState } from "../instance/types.ts";
import { setEntry } from "../shared/set_entry.ts";
import type { SlotHolder, SlotLedger, SlotReport, SlotUse } from "./types.ts";

const MAX_BOOT_IDS = 8;

const EMPTY_LEDGER: SlotLedger = {
  holders: {},
  successes: 0,
  rampStart: 0,
  bootIds: [],
  lastResponseMs: Number.NEGATIVE_INFINITY,
  lastErrorMs: Number.NEGATIVE_INFINITY,
};

/** Records one instance's use of an upstream in the owner's ledger. */
export function updateLedger(
  state: InstanceState,
  {
    from,
    report,
    use,
    nowMs,
  }: {
    readonly from: InstanceId;
    readonly report: SlotReport;
    readonly use: SlotUse;
    readonly nowMs: number;
  },
): InstanceState {
  const { upstreamId } = use;
  if (state.upstreams[upstreamId]?.dataCentre !== state.self.dataCentre) {
    return state;
  }
  const ledger = state.slots.ledgers[upstreamId] ?? EMPTY_LEDGER;
  const key = `${from}/${report.incarnation}`;
  const before = ledger.holders[key];
  if (before !== undefined && report.sentMs < before.reportMs) {
    return state;
  }
  const holder = buildHolder(before, { from, report, use, nowMs });
  const updated = recordBootId(recordProgress(ledger, before, use), use);
  const lastResponseMs =
    use.answerAgeMs < 0
      ? updated.lastResponseMs
      : Math.max(updated.lastResponseMs, nowMs - use.answerAgeMs);
  const ledgers = setEntry(state.slots.ledgers, upstreamId, {
    ...updated,
    lastResponseMs,
    lastErrorMs:
      before !== undefined && use.errorCount > before.countedErrors
        ? nowMs
        : updated.lastErrorMs,
    holders: setEntry(updated.holders, key, holder),
  });
  return { ...state, slots: { ...state.slots, ledgers } };
}

function buildHolder(
  before: SlotHolder | undefined,
  {
    from,
    report,
    use,
    nowMs,
  }: {
    readonly from: InstanceId;
    readonly report: SlotReport;
    readonly use: SlotUse;
    readonly nowMs: number;
  },
): SlotHolder {
  const isAdopted = before !== undefined && use.grantNumber === before.number;
  return {
    instanceId: from,
    incarnation: report.incarnation,
    dataCentre: report.dataCentre,
    use,
    lastSeenMs: nowMs,
    reportMs: report.sentMs,
    number: before?.number ?? 0,
    slots: before?.slots ?? use.slots,
    maxSlots: isAdopted ? before.slots : (before?.maxSlots ?? use.slots),
    countedSuccesses: use.successCount,
    countedColdStarts: use.coldCount,
    countedErrors: use.errorCount,
  };
}

function recordProgress(
  ledger: SlotLedger,
  before: SlotHolder | undefined,
  use: SlotUse,
): SlotLedger {
  if (before === undefined) {
    const { knownAllowance } = use;
    const isLower = ledger.rampStart === 0 || knownAllowance < ledger.rampStart;
    return knownAllowance > 0 && isLower
      ? { ...ledger, rampStart: knownAllowance }
      : ledger;
  }
  if (use.coldCount > before.countedColdStarts) {
    return startRamp(ledger);
  }
  const newSuccesses = use.successCount - before.countedSuccesses;
  return { ...ledger, successes: ledger.successes + newSuccesses };
}

function recordBootId(ledger: SlotLedger, { bootId }: SlotUse): SlotLedger {
  if (bootId === undefined || ledger.bootIds.includes(bootId)) {
    return ledger;
  }
  const bootIds = [...ledger.bootIds, bootId].slice(-MAX_BOOT_IDS);
  return ledger.bootIds.length === 0
    ? { ...ledger, bootIds }
    : { ...startRamp(ledger), bootIds };
}

function startRamp(ledger: SlotLedger): SlotLedger {
  return { ...ledger, successes: 0, rampStart: 1 };
}
