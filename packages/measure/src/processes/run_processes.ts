import { countRun } from "./count_run.ts";
import { generateLoad, type Load } from "./generate_load.ts";
import { ProcessFleet } from "./process_fleet.ts";
import { runJob } from "./run_job.ts";
import type { JobResult, RunCounts } from "./types.ts";

const CUSTOMERS = ["c1", "c2", "c3", "c4", "c5", "c6", "c7", "c8"];
const RATE = 40;
const JOB_ITEMS = 400;
const REST_MS = 90_000;
const MS_PER_SECOND = 1_000;

type Options = {
  readonly seed: number;
  readonly pace: number;
  readonly print: (line: string) => void;
};

/** One thing of the timeline, `atS` seconds after the start. */
type Moment = {
  readonly atS: number;
  readonly name: string;
  readonly happen: () => Promise<unknown> | unknown;
};

/** Runs the fleet through its timeline of faults and counts what happened. */
export async function runProcesses(options: Options): Promise<RunCounts> {
  const fleet = new ProcessFleet();
  await fleet.start(CUSTOMERS);
  options.print("the fleet is ready");
  const load = generateLoad(fleet, CUSTOMERS, {
    rate: RATE,
    seed: options.seed,
  });
  const jobs: Promise<JobResult>[] = [];
  const control = { overMs: Number.POSITIVE_INFINITY };
  const submit = (): void => {
    const key = `job${jobs.length}`;
    const customer = CUSTOMERS[jobs.length % CUSTOMERS.length] ?? "c1";
    const isOver = () => Date.now() > control.overMs;
    const pickUrl = () => pickCaller(fleet, load);
    jobs.push(runJob({ pickUrl, customer, items: JOB_ITEMS, key, isOver }));
  };
  await followTimeline(buildTimeline(fleet, load, submit), options);
  const results = await load.stop();
  control.overMs = Date.now() + REST_MS;
  const done = await Promise.all(jobs);
  results.forEach(({ end, mark }) => {
    if (end.kind === "broken") {
      options.print(`${mark} was broken off by ${end.instanceId}`);
    }
  });
  const prompts = fleet.engines.flatMap(({ runs }) =>
    runs.map(({ prompt }) => prompt),
  );
  await fleet.stop();
  return countRun(results, done, { prompts, killed: ["a-1"] });
}

function pickCaller(fleet: ProcessFleet, load: Load): string {
  const ids = fleet.instanceIds.filter((id) => !load.left.has(id));
  return fleet.callerUrl(ids[Date.now() % ids.length] ?? "a-2");
}

function buildTimeline(
  fleet: ProcessFleet,
  { left }: Load,
  submit: () => void,
): readonly Moment[] {
  return [
    { atS: 2, name: "submit", happen: submit },
    { atS: 8, name: "submit", happen: submit },
    {
      atS: 10,
      name: "kill a-1",
      happen: async () => {
        await fleet.signal("a-1", "SIGKILL");
        left.add("a-1");
      },
    },
    {
      atS: 20,
      name: "restart a-1",
      happen: async () => {
        await fleet.startDaemon("a-1");
        left.delete("a-1");
      },
    },
    {
      atS: 30,
      name: "pause b-1",
      happen: () => fleet.signal("b-1", "SIGSTOP"),
    },
    { atS: 32, name: "balancer drops b-1", happen: () => left.add("b-1") },
    { atS: 34, name: "submit", happen: submit },
    {
      atS: 45,
      name: "go on b-1",
      happen: () => fleet.signal("b-1", "SIGCONT"),
    },
    { atS: 47, name: "balancer adds b-1", happen: () => left.delete("b-1") },
    {
      atS: 60,
      name: "stop c-1",
      happen: () => {
        const ended = fleet.signal("c-1", "SIGTERM");
        setTimeout(() => left.add("c-1"), MS_PER_SECOND);
        return ended;
      },
    },
    {
      atS: 75,
      name: "restart c-1",
      happen: async () => {
        await fleet.startDaemon("c-1");
        left.delete("c-1");
      },
    },
    {
      atS: 80,
      name: "take b out",
      happen: () => fleet.administer("a-2", "data-centres/b/take-out"),
    },
    {
      atS: 95,
      name: "bring b back",
      happen: () => fleet.administer("a-2", "data-centres/b/bring-back"),
    },
    { atS: 97, name: "submit", happen: submit },
    {
      atS: 100,
      name: "store down",
      happen: () => fleet.setStore({ isDown: true }),
    },
    { atS: 110, name: "submit", happen: submit },
    {
      atS: 160,
      name: "store up",
      happen: () => fleet.setStore({ isDown: false }),
    },
    {
      atS: 165,
      name: "lose answers",
      happen: () => fleet.setStore({ loseAnswers: 8 }),
    },
    { atS: 166, name: "submit", happen: submit },
    { atS: 180, name: "end of load", happen: () => undefined },
  ];
}

async function followTimeline(
  timeline: readonly Moment[],
  { pace, print }: Options,
): Promise<void> {
  const startMs = Date.now();
  for (const { atS, name, happen } of timeline) {
    const dueMs = startMs + atS * pace * MS_PER_SECOND;
    await new Promise((resolve) => setTimeout(resolve, dueMs - Date.now()));
    print(`${atS} s: ${name}`);
    await happen();
  }
}
