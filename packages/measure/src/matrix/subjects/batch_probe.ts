import {
  type InstanceId,
  ITEM_STATES,
  type JobId,
  type JobRecord,
  listOffsets,
  type Segment,
  type SegmentRecord,
} from "@gooseberryline/core";
import { offerBatch } from "../../jobs/offer_batch.ts";
import type { SoakFleet } from "../../soak/soak_fleet.ts";
import type { Place, Scenario } from "../types.ts";

const HOME = "a-0" as InstanceId;
const JOB = "probe" as JobId;
const NAME = `${JOB}/0`;
const ITEM_COUNT = 60;
const BEGUN_MS = 1_500;
const LAPSED_MS = 22_000;
const TAKEN_OVER_MS = 45_000;
const SOON_MS = 20;
const END_LIMIT_MS = 240_000;
const POLL_MS = 1_000;

const offer = (fleet: SoakFleet, isIdempotent = true): void => {
  const at = HOME;
  const itemCount = ITEM_COUNT;
  offerBatch(fleet.world, { name: JOB, itemCount, isIdempotent, at });
};

const findHolder = ({ world }: SoakFleet): InstanceId | undefined =>
  world.instanceIds.find(
    (id) => world.stateOf(id)?.jobs.owned[NAME] !== undefined,
  );

const cancel = ({ world }: SoakFleet): void => {
  const customer = "c1" as never;
  world.post(HOME, { kind: "job-cancel-asked", jobId: JOB, customer });
};

const begin = (fleet: SoakFleet, isIdempotent: boolean): InstanceId => {
  offer(fleet, isIdempotent);
  fleet.world.runFor(BEGUN_MS);
  return findHolder(fleet) ?? HOME;
};

const pauseHolder = (fleet: SoakFleet, ms: number): void => {
  const holder = begin(fleet, true);
  fleet.world.pause(holder);
  fleet.world.runFor(ms);
  fleet.world.queue.schedule(SOON_MS, () => fleet.world.resume(holder));
};

const later = (fleet: SoakFleet, act: () => void): void =>
  fleet.world.queue.schedule(SOON_MS, act);

const setEngines = ({ world }: SoakFleet, isDown: boolean): void =>
  world.engines.forEach((engine) => {
    engine.setFault({ isDown });
  });

/** Ways to bring a job of few items through the steps of the batch charts. */
const SCENARIOS: readonly Scenario[] = [
  { name: "idempotent", start: (fleet) => offer(fleet) },
  { name: "non-idempotent", start: (fleet) => offer(fleet, false) },
  {
    name: "no upstream",
    start: (fleet) => {
      setEngines(fleet, true);
      offer(fleet, false);
      fleet.world.queue.schedule(BEGUN_MS, () => setEngines(fleet, false));
    },
  },
  { name: "lapsed", start: (fleet) => pauseHolder(fleet, LAPSED_MS) },
  { name: "taken over", start: (fleet) => pauseHolder(fleet, TAKEN_OVER_MS) },
  {
    name: "cancelled",
    start: (fleet) => {
      begin(fleet, false);
      later(fleet, () => cancel(fleet));
    },
  },
  {
    name: "handed back",
    start: (fleet) => {
      const holder = begin(fleet, false);
      later(fleet, () => fleet.world.post(holder, { kind: "stop-asked" }));
    },
  },
];

const readRecord = <Value>({ world }: SoakFleet, key: string) => {
  const found = world.store.records.get(key, world.nowMs);
  return found === undefined ? undefined : (JSON.parse(found.value) as Value);
};

const readJob = (fleet: SoakFleet): JobRecord | undefined =>
  readRecord<JobRecord>(fleet, `jobs/c1/${JOB}`);

const readSegment = (fleet: SoakFleet): SegmentRecord | undefined =>
  readRecord<SegmentRecord>(fleet, `segments/${NAME}`);

const findSegment = (fleet: SoakFleet): Segment | undefined => {
  const holder = findHolder(fleet);
  return holder === undefined
    ? undefined
    : fleet.world.stateOf(holder)?.jobs.owned[NAME];
};

const readSegmentStep = (fleet: SoakFleet): string | undefined => {
  const record = readSegment(fleet);
  const segment = findSegment(fleet);
  if (record !== undefined && record.state !== "open") {
    return "finished";
  }
  if (record?.owner === "") {
    return "released";
  }
  const isLost = segment?.phase === "owned" && segment.fence > 1;
  const held = fleet.world.instanceIds.filter(
    (id) => fleet.world.stateOf(id)?.jobs.owned[NAME] !== undefined,
  );
  return isLost && held.length === 1 ? "lost" : segment?.phase;
};

const readItemStep = (fleet: SoakFleet): string | undefined => {
  const done = readSegment(fleet)?.parts.flatMap((part) =>
    listOffsets(part.done),
  );
  const code = findSegment(fleet)?.items[0];
  return done?.includes(0)
    ? "completed"
    : code === undefined
      ? undefined
      : ITEM_STATES.CHART.states[code];
};

const locate = (fleet: SoakFleet): Place => {
  const { world } = fleet;
  const runs = world.ledger.runs.filter(
    ({ workId, endedMs }) => workId === `${JOB}/0` && endedMs === undefined,
  );
  const run = runs.at(-1);
  return {
    instanceId: findHolder(fleet) ?? HOME,
    upstreamId: run?.upstreamId,
    attemptId: run?.attemptId,
  };
};

/** What went wrong with the job, once it had all the time it may need. */
const listFaults = (fleet: SoakFleet): readonly string[] => {
  const { world } = fleet;
  const endsMs = world.nowMs + END_LIMIT_MS;
  while (world.nowMs < endsMs && !isOver(readJob(fleet))) {
    world.runFor(POLL_MS);
  }
  const job = readJob(fleet);
  if (job === undefined) {
    return isAccepted(fleet) ? ["an accepted job has no record"] : [];
  }
  const indexes = (world.ledger.outputs.get(JOB) ?? []).map(
    ({ index }) => index,
  );
  const isWhole = job.phase === "cancelled" || indexes.length === ITEM_COUNT;
  const runs = world.ledger.runs.map(({ workId }) => workId);
  const ranTwice = runs.length !== new Set(runs).size;
  return [
    ...(isOver(job) ? [] : [`the job is ${job.phase} at rest`]),
    ...(isWhole ? [] : [`${indexes.length} results for ${ITEM_COUNT} items`]),
    ...(new Set(indexes).size === indexes.length ? [] : ["a result twice"]),
    ...(ranTwice && !job.spec.isIdempotent ? ["an item ran twice"] : []),
  ];
};

function isAccepted({ world }: SoakFleet): boolean {
  return world.ledger.jobAnswers.some(
    ({ answer }) => answer.kind === "accepted",
  );
}

function isOver(job: JobRecord | undefined): boolean {
  return job?.phase === "completed" || job?.phase === "cancelled";
}

/** One batch job, as the fault matrix looks at it. */
export const BATCH_PROBE = {
  SCENARIOS,
  readJobStep: (fleet: SoakFleet) => readJob(fleet)?.phase,
  readSegmentStep,
  readItemStep,
  locate,
  listFaults,
} as const;
