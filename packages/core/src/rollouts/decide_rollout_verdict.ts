import { groupBy } from "../shared/group_by.ts";
import { ROLLOUTS } from "./constants.ts";
import { isSpread } from "./is_spread.ts";
import type { EvidenceRow, RolloutEvidence, RolloutVerdict } from "./types.ts";

type BadVerdict = Extract<RolloutVerdict, { kind: "bad" }>;

/** How many answers there were, and how many of them were bad. */
type Tally = { readonly answered: number; readonly bad: number };

/** What makes answers bad, and how much of it is found against a version. */
type Measure = {
  readonly reason: BadVerdict["reason"];
  readonly minBad: number;
  readonly minPart: number;
  /** Periods that must show it. */
  readonly minPeriods: number;
  /** `hasOld`: the old version has answers of the same period and route. */
  readonly count: (row: EvidenceRow, hasOld: boolean) => Tally;
};

/** Answers of both versions on one route in one period. */
type Stratum = {
  readonly fresh: readonly EvidenceRow[];
  readonly old: readonly EvidenceRow[];
};

const MEASURES: readonly Measure[] = [
  {
    reason: "failures",
    minBad: ROLLOUTS.MIN_FAILURES,
    minPart: ROLLOUTS.MIN_FAILED_PART,
    minPeriods: 1,
    // Without the old version beside it a crash or a cut looks like the version's.
    count: ({ answered, failed, broken }, hasOld) => ({
      answered,
      bad: failed + (hasOld ? broken : 0),
    }),
  },
  {
    reason: "slow",
    minBad: ROLLOUTS.MIN_SLOW,
    minPart: ROLLOUTS.MIN_SLOW_PART,
    // A pause of this machine or of the upstreams' makes one period slow.
    minPeriods: 2,
    count: ({ judged, slow }) => ({ answered: judged, bad: slow }),
  },
];

/**
 * Decides whether the new version is worse than the old one. Each period and
 * route is compared by itself, so that a fault that hits both at the same time
 * counts against neither; the last periods are looked at alone as well, for a
 * version that turns bad late, and each route, for one that is bad there only.
 */
export function decideRolloutVerdict(
  evidence: RolloutEvidence,
  /** Number of the period that it is now. */
  period: number,
): RolloutVerdict {
  const { rows } = evidence;
  const hasFreshAnswers = rows.some(({ isNew }) => isNew);
  if (!hasFreshAnswers || !isSpread(evidence)) {
    return { kind: "open" };
  }
  const recent = rows.filter(
    (row) => row.period > period - ROLLOUTS.RECENT_PERIODS,
  );
  const routes = [...new Set(rows.map(({ route }) => route))];
  const found = [rows, recent].flatMap((window) =>
    [undefined, ...routes].flatMap((route) =>
      MEASURES.flatMap((measure) => findBad(window, rows, route, measure)),
    ),
  );
  return found[0] ?? { kind: "open" };
}

function findBad(
  window: readonly EvidenceRow[],
  all: readonly EvidenceRow[],
  route: string | undefined,
  measure: Measure,
): readonly BadVerdict[] {
  const isMeant = (row: EvidenceRow): boolean =>
    route === undefined || row.route === route;
  const oldRate = computeOldRate(all.filter(isMeant), measure);
  const tallies = listStrata(window.filter(isMeant)).map((stratum) =>
    countStratum(stratum, oldRate, measure),
  );
  const answered = computeSum(tallies.map((tally) => tally.answered));
  const bad = computeSum(tallies.map((tally) => tally.bad));
  const expected = computeSum(tallies.map((tally) => tally.expected));
  const periods = new Set(
    window
      .filter((row) => row.isNew && isMeant(row))
      .filter((row) => measure.count(row, true).bad > 0)
      .map((row) => row.period),
  );
  const isBad =
    periods.size >= measure.minPeriods &&
    bad >= measure.minBad &&
    bad >= answered * measure.minPart &&
    bad >= expected * ROLLOUTS.MIN_RATIO &&
    bad - expected >= ROLLOUTS.MIN_DEVIATIONS * Math.sqrt(expected + 1);
  const { reason } = measure;
  return isBad ? [{ kind: "bad", reason, route, answered, bad, expected }] : [];
}

function computeOldRate(
  rows: readonly EvidenceRow[],
  { count }: Measure,
): number {
  const { answered, bad } = addUp(
    rows.filter(({ isNew }) => !isNew),
    (row) => count(row, true),
  );
  return Math.max(ROLLOUTS.MIN_OLD_RATE, answered === 0 ? 0 : bad / answered);
}

function countStratum(
  { fresh, old }: Stratum,
  oldRate: number,
  { count }: Measure,
) {
  const before = addUp(old, (row) => count(row, true));
  const rate =
    (before.bad + oldRate * ROLLOUTS.PRIOR_ANSWERS) /
    (before.answered + ROLLOUTS.PRIOR_ANSWERS);
  const hasOld = before.answered >= ROLLOUTS.PRIOR_ANSWERS;
  const tally = addUp(fresh, (row) => count(row, hasOld));
  return { ...tally, expected: tally.answered * rate };
}

function listStrata(rows: readonly EvidenceRow[]): readonly Stratum[] {
  const groups = groupBy(rows, ({ period, route }) => `${period} ${route}`);
  return [...groups.values()].map((group) => ({
    fresh: group.filter(({ isNew }) => isNew),
    old: group.filter(({ isNew }) => !isNew),
  }));
}

function addUp(
  rows: readonly EvidenceRow[],
  count: (row: EvidenceRow) => Tally,
): Tally {
  const tallies = rows.map(count);
  return {
    answered: computeSum(tallies.map(({ answered }) => answered)),
    bad: computeSum(tallies.map(({ bad }) => bad)),
  };
}

function computeSum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}
