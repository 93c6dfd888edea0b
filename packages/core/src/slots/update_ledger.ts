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
  aliveMs: Number.NEGATIVE_INFINITY,
  doubtMs: Number.NEGATIVE_INFINITY,
};

/** Enters what one instance says of one upstream into the owner's account. */
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
  const noted = noteBoot(noteProgress(ledger, before, use), use);
  const aliveMs =
    use.answerAgeMs < 0
      ? noted.aliveMs
      : Math.max(noted.aliveMs, nowMs - use.answerAgeMs);
  const ledgers = setEntry(state.slots.ledgers, upstreamId, {
    ...noted,
    aliveMs,
    doubtMs:
      before !== undefined && use.errorCount > before.countedErrors
        ? nowMs
        : noted.doubtMs,
    holders: setEntry(noted.holders, key, holder),
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
    heardMs: nowMs,
    reportMs: report.sentMs,
    number: before?.number ?? 0,
    slots: before?.slots ?? use.slots,
    peak: isAdopted ? before.slots : (before?.peak ?? use.slots),
    countedSuccesses: use.successCount,
    countedColds: use.coldCount,
    countedErrors: use.errorCount,
  };
}

function noteProgress(
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
  if (use.coldCount > before.countedColds) {
    return startRamp(ledger);
  }
  const fresh = use.successCount - before.countedSuccesses;
  return { ...ledger, successes: ledger.successes + fresh };
}

function noteBoot(ledger: SlotLedger, { bootId }: SlotUse): SlotLedger {
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
