import { countOutcomes } from "./count_outcomes.ts";
import { generateLoad, type Load } from "./generate_load.ts";
import { ProcessFleet } from "./process_fleet.ts";
import { runJob } from "./run_job.ts";
import type { JobResult, RunCounts } from "./types.ts";

const CUSTOMERS = ["c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"];
const REQUESTS_PER_SECOND = 40;
const JOB_ITEMS = 400;
const JOB_GRACE_MS = 90_000;
const MS_PER_SECOND = 1_000;

type Options = {
  readonly seed: number;
  readonly pace: number;
  readonly print: (line: string) => void;
};

/** An event of the timeline, at `atSeconds` after the start. */
type TimelineEvent = {
  readonly atSeconds: number;
  readonly name: string;
  readonly action: () => Promise<unknown> | unknown;
};

/** Runs the fleet through a timeline of faults and counts the outcomes. */
export async function runProcesses(options: Options): Promise<RunCounts> {
  const fleet = new ProcessFleet();
  await fleet.start(CUSTOMERS);
  options.print("the fleet is ready");
  const load = generateLoad(fleet, CUSTOMERS, {
    rate: REQUESTS_PER_SECOND,
    seed: options.seed,
  });
  const jobs: Promise<JobResult>[] = [];
  const control = { deadlineMs: Number.POSITIVE_INFINITY };
  const startJob = (): void => {
    const key = `job${jobs.length}`;
    const customer = CUSTOMERS[jobs.length % CUSTOMERS.length] ?? "c1";
    const isPastDeadline = () => Date.now() > control.deadlineMs;
    const pickUrl = () => pickCaller(fleet, load);
    jobs.push(
      runJob({ pickUrl, customer, items: JOB_ITEMS, key, isPastDeadline }),
    );
  };
  await runTimeline(buildTimeline(fleet, load, startJob), options);
  const results = await load.stop();
  control.deadlineMs = Date.now() + JOB_GRACE_MS;
  const jobResults = await Promise.all(jobs);
  results.forEach(({ end, callId }) => {
    if (end.kind === "broken") {
      options.print(`${callId}: connection to ${end.instanceId} lost`);
    }
  });
  const prompts = fleet.engines.flatMap(({ runs }) =>
    runs.map(({ prompt }) => prompt),
  );
  await fleet.stop();
  return countOutcomes(results, jobResults, { prompts, killed: ["a-1"] });
}

function pickCaller(fleet: ProcessFleet, load: Load): string {
  const ids = fleet.instanceIds.filter((id) => !load.left.has(id));
  return fleet.getCallerUrl(ids[Date.now() % ids.length] ?? "a-2");
}

function buildTimeline(
  fleet: ProcessFleet,
  { left: excludedInstances }: Load,
  startJob: () => void,
): readonly TimelineEvent[] {
  return [
    { atSeconds: 2, name: "submit", action: startJob },
    { atSeconds: 8, name: "submit", action: startJob },
    {
      atSeconds: 10,
      name: "kill a-1",
      action: async () => {
        await fleet.signal("a-1", "SIGKILL");
        excludedInstances.add("a-1");
      },
    },
    {
      atSeconds: 20,
      name: "restart a-1",
      action: async () => {
        await fleet.startDaemon("a-1");
        excludedInstances.delete("a-1");
      },
    },
    {
      atSeconds: 30,
      name: "pause b-1",
      action: () => fleet.signal("b-1", "SIGSTOP"),
    },
    {
      atSeconds: 32,
      name: "balancer drops b-1",
      action: () => excludedInstances.add("b-1"),
    },
    { atSeconds: 34, name: "submit", action: startJob },
    {
      atSeconds: 45,
      name: "go on b-1",
      action: () => fleet.signal("b-1", "SIGCONT"),
    },
    {
      atSeconds: 47,
      name: "balancer adds b-1",
      action: () => excludedInstances.delete("b-1"),
    },
    {
      atSeconds: 60,
      name: "stop c-1",
      action: () => {
        const ended = fleet.signal("c-1", "SIGTERM");
        setTimeout(() => excludedInstances.add("c-1"), MS_PER_SECOND);
        return ended;
      },
    },
    {
      atSeconds: 75,
      name: "restart c-1",
      action: async () => {
        await fleet.startDaemon("c-1");
        excludedInstances.delete("c-1");
      },
    },
    {
      atSeconds: 80,
      name: "take b out",
      action: () => fleet.administer("a-2", "data-centres/b/take-out"),
    },
    {
      atSeconds: 95,
      name: "bring b back",
      action: () => fleet.administer("a-2", "data-centres/b/bring-back"),
    },
    { atSeconds: 97, name: "submit", action: startJob },
    {
      atSeconds: 100,
      name: "store down",
      action: () => fleet.setStoreFaults({ isDown: true }),
    },
    { atSeconds: 110, name: "submit", action: startJob },
    {
      atSeconds: 160,
      name: "store up",
      action: () => fleet.setStoreFaults({ isDown: false }),
    },
    {
      atSeconds: 165,
      name: "lose answers",
      action: () => fleet.setStoreFaults({ loseAnswers: 8 }),
    },
    { atSeconds: 166, name: "submit", action: startJob },
    { atSeconds: 180, name: "end of load", action: () => undefined },
  ];
}

async function runTimeline(
  timeline: readonly TimelineEvent[],
  { pace, print }: Options,
): Promise<void> {
  const startMs = Date.now();
  for (const { atSeconds, name, action } of timeline) {
    const dueMs = startMs + atSeconds * pace * MS_PER_SECOND;
    await new Promise((resolve) => setTimeout(resolve, dueMs - Date.now()));
    print(`${atSeconds} s: ${name}`);
    await action();
  }
}
