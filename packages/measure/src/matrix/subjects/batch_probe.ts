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
import type { FaultTarget, Scenario } from "../types.ts";

const ENTRY_INSTANCE = "a-0" as InstanceId;
const JOB_ID = "probe" as JobId;
const SEGMENT_NAME = `${JOB_ID}/0`;
const ITEM_COUNT = 60;
const JOB_START_MS = 1_500;
const LEASE_LAPSE_PAUSE_MS = 22_000;
const TAKEOVER_PAUSE_MS = 45_000;
const ACTION_DELAY_MS = 20;
const END_LIMIT_MS = 240_000;
const POLL_MS = 1_000;

const offerJob = (fleet: SoakFleet, isIdempotent = true): void => {
  const at = ENTRY_INSTANCE;
  const itemCount = ITEM_COUNT;
  offerBatch(fleet.world, { name: JOB_ID, itemCount, isIdempotent, at });
};

const findOwner = ({ world }: SoakFleet): InstanceId | undefined =>
  world.instanceIds.find(
    (id) => world.getState(id)?.jobs.owned[SEGMENT_NAME] !== undefined,
  );

const cancelJob = ({ world }: SoakFleet): void => {
  const customer = "c1" as never;
  world.dispatch(ENTRY_INSTANCE, {
    kind: "job-cancel-asked",
    jobId: JOB_ID,
    customer,
  });
};

const startJob = (fleet: SoakFleet, isIdempotent: boolean): InstanceId => {
  offerJob(fleet, isIdempotent);
  fleet.world.runFor(JOB_START_MS);
  return findOwner(fleet) ?? ENTRY_INSTANCE;
};

const pauseOwner = (fleet: SoakFleet, ms: number): void => {
  const owner = startJob(fleet, true);
  fleet.world.pause(owner);
  fleet.world.runFor(ms);
  fleet.world.queue.schedule(ACTION_DELAY_MS, () => fleet.world.resume(owner));
};

const runLater = (fleet: SoakFleet, action: () => void): void =>
  fleet.world.queue.schedule(ACTION_DELAY_MS, action);

const setEnginesDown = ({ world }: SoakFleet, isDown: boolean): void =>
  world.engines.forEach((engine) => {
    engine.setFault({ isDown });
  });

/** Scenarios that lead a small job through the steps of the batch charts. */
const SCENARIOS: readonly Scenario[] = [
  { name: "idempotent", start: (fleet) => offerJob(fleet) },
  { name: "non-idempotent", start: (fleet) => offerJob(fleet, false) },
  {
    name: "no upstream",
    start: (fleet) => {
      setEnginesDown(fleet, true);
      offerJob(fleet, false);
      fleet.world.queue.schedule(JOB_START_MS, () =>
        setEnginesDown(fleet, false),
      );
    },
  },
  { name: "lapsed", start: (fleet) => pauseOwner(fleet, LEASE_LAPSE_PAUSE_MS) },
  {
    name: "taken over",
    start: (fleet) => pauseOwner(fleet, TAKEOVER_PAUSE_MS),
  },
  {
    name: "cancelled",
    start: (fleet) => {
      startJob(fleet, false);
      runLater(fleet, () => cancelJob(fleet));
    },
  },
  {
    name: "handed back",
    start: (fleet) => {
      const owner = startJob(fleet, false);
      runLater(fleet, () =>
        fleet.world.dispatch(owner, { kind: "stop-asked" }),
      );
    },
  },
];

const readRecord = <Value>({ world }: SoakFleet, key: string) => {
  const found = world.store.records.get(key, world.nowMs);
  return found === undefined ? undefined : (JSON.parse(found.value) as Value);
};

const readJob = (fleet: SoakFleet): JobRecord | undefined =>
  readRecord<JobRecord>(fleet, `jobs/c1/${JOB_ID}`);

const readSegment = (fleet: SoakFleet): SegmentRecord | undefined =>
  readRecord<SegmentRecord>(fleet, `segments/${SEGMENT_NAME}`);

const findSegment = (fleet: SoakFleet): Segment | undefined => {
  const owner = findOwner(fleet);
  return owner === undefined
    ? undefined
    : fleet.world.getState(owner)?.jobs.owned[SEGMENT_NAME];
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
  const owners = fleet.world.instanceIds.filter(
    (id) => fleet.world.getState(id)?.jobs.owned[SEGMENT_NAME] !== undefined,
  );
  return isLost && owners.length === 1 ? "lost" : segment?.phase;
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

const locate = (fleet: SoakFleet): FaultTarget => {
  const { world } = fleet;
  const runs = world.ledger.runs.filter(
    ({ workId, endedMs }) => workId === `${JOB_ID}/0` && endedMs === undefined,
  );
  const run = runs.at(-1);
  return {
    instanceId: findOwner(fleet) ?? ENTRY_INSTANCE,
    upstreamId: run?.upstreamId,
    attemptId: run?.attemptId,
  };
};

/** Lists the job's faults after it has ended or reached the time limit. */
const listFaults = (fleet: SoakFleet): readonly string[] => {
  const { world } = fleet;
  const deadlineMs = world.nowMs + END_LIMIT_MS;
  while (world.nowMs < deadlineMs && !isJobEnded(readJob(fleet))) {
    world.runFor(POLL_MS);
  }
  const job = readJob(fleet);
  if (job === undefined) {
    return isJobAccepted(fleet) ? ["an accepted job has no record"] : [];
  }
  const indexes = (world.ledger.outputs.get(JOB_ID) ?? []).map(
    ({ index }) => index,
  );
  const isComplete = job.phase === "cancelled" || indexes.length === ITEM_COUNT;
  const runs = world.ledger.runs.map(({ workId }) => workId);
  const hasRepeatedRun = runs.length !== new Set(runs).size;
  return [
    ...(isJobEnded(job) ? [] : [`the job is ${job.phase} at rest`]),
    ...(isComplete
      ? []
      : [`${indexes.length} results for ${ITEM_COUNT} items`]),
    ...(new Set(indexes).size === indexes.length
      ? []
      : ["a result was written twice"]),
    ...(hasRepeatedRun && !job.spec.isIdempotent ? ["an item ran twice"] : []),
  ];
};

function isJobAccepted({ world }: SoakFleet): boolean {
  return world.ledger.jobAnswers.some(
    ({ answer }) => answer.kind === "accepted",
  );
}

function isJobEnded(job: JobRecord | undefined): boolean {
  return job?.phase === "completed" || job?.phase === "cancelled";
}

/** Scenarios and observations of one batch job for the fault matrix. */
export const BATCH_PROBE = {
  SCENARIOS,
  readJobStep: (fleet: SoakFleet) => readJob(fleet)?.phase,
  readSegmentStep,
  readItemStep,
  locate,
  listFaults,
} as const;
