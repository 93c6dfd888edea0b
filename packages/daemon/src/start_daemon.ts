import { randomInt, randomUUID } from "node:crypto";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type {
  DataCentreId,
  InstanceEvent,
  InstanceId,
  InstanceSelf,
  RunRecord,
} from "@gooseberryline/core";
import type { Platform } from "@gooseberryline/protocol";
import { createAdminApp } from "./admin/create_admin_app.ts";
import { createLocalReports } from "./admin/create_local_reports.ts";
import { BurnTask } from "./burn/burn_task.ts";
import { CallerTask } from "./caller/caller_task.ts";
import { createCallerApp } from "./caller/create_caller_app.ts";
import { watchConfig } from "./config/watch_config.ts";
import { JobTask } from "./jobs/job_task.ts";
import type { Log } from "./logs/create_log.ts";
import { createMetrics } from "./metrics/create_metrics.ts";
import { reportRequest } from "./metrics/report_request.ts";
import type { Metrics } from "./metrics/types.ts";
import { watchInstance } from "./metrics/watch_instance.ts";
import { RunRing } from "./runs/run_ring.ts";
import type { Settings } from "./settings/types.ts";
import { AttemptTask } from "./tasks/attempt_task.ts";
import { CoreTask } from "./tasks/core_task.ts";
import { handleEffect } from "./tasks/handle_effect.ts";
import { listen } from "./tasks/listen.ts";

const STOP_POLL_MS = 20;
const SEED_LIMIT = 2 ** 32;

/** A running instance. */
export type Daemon = {
  /** Addresses of the listeners, `IP:port`. */
  readonly caller: string;
  readonly admin: string;
  /** Stops gracefully: finishes what was accepted, then ends. */
  readonly stop: () => Promise<void>;
};

/** Where an instance tells what it does. */
export type DaemonOptions = {
  readonly log: Log;
  readonly onRun?: (run: RunRecord) => void;
};

/** Starts an instance: its tasks, and then its listeners. */
export async function startDaemon(
  settings: Settings,
  platform: Platform,
  { log, onRun }: DaemonOptions,
): Promise<Daemon> {
  const folder =
    settings.dataFolder ?? (await mkdtemp(join(tmpdir(), "gooseberryline-")));
  const post = (event: InstanceEvent): void => {
    burn.noteEvent(event);
    core.post(event);
  };
  const readConfig = () => core.state.config;
  const burn = new BurnTask(readConfig);
  const ring = new RunRing();
  const metrics = createMetrics(settings.metrics, {
    instance: settings.instanceId,
    data_centre: settings.dataCentre,
  });
  const attempts = new AttemptTask(post);
  const calls = new CallerTask(post, (report) =>
    reportRequest(report, { log, metrics }),
  );
  const jobs = new JobTask(folder, post);
  const core = new CoreTask(
    describeSelf(settings),
    randomInt(SEED_LIMIT),
    (effect) => {
      burn.noteEffect(effect);
      handleEffect(effect, {
        attempts,
        calls,
        jobs,
        readConfig,
        keepRun: (run) => {
          logRun(log, run);
          countRun(metrics, run);
          ring.keep(run);
          onRun?.(run);
        },
      });
    },
  );
  const watch = watchConfig(
    platform,
    (config) => core.post({ kind: "config-offered", config }),
    log,
  );
  const gauges = watchInstance(() => core.state, metrics);
  const callerApp = createCallerApp({
    readConfig,
    calls,
    jobs,
    log,
    metrics,
  });
  const adminApp = createAdminApp({
    readState: () => core.state,
    operators: settings.operators,
    platform,
    reports: createLocalReports({
      readState: () => core.state,
      listRuns: (query) => ring.list(query),
      listJobs: () => jobs.listAll(),
      buildBurn: () => burn.buildRows(),
    }),
    cancelJob: (jobId) => core.post({ kind: "job-cancel-asked", jobId }),
    log,
  });
  const caller = await listen(callerApp.callback(), settings.callerListener);
  const admin = await listen(adminApp.callback(), settings.adminListener);
  log.info("listening", { caller: caller.address, admin: admin.address });
  const stop = async (): Promise<void> => {
    core.post({ kind: "stop-asked" });
    while (core.state.works.count > 0) {
      await new Promise((resolve) => setTimeout(resolve, STOP_POLL_MS));
    }
    watch.stop();
    core.stop();
    gauges.stop();
    metrics.close();
    attempts.stop();
    [caller, admin].forEach(({ server }) => {
      server.close();
      server.closeIdleConnections();
    });
    log.info("stopped");
  };
  return { caller: caller.address, admin: admin.address, stop };
}

function countRun(metrics: Metrics, run: RunRecord): void {
  const { upstreamId: upstream, outcome } = run;
  metrics.count("attempts", { upstream, outcome });
}

function logRun(log: Log, run: RunRecord): void {
  log.info("run", {
    workId: run.workId,
    attemptId: run.attemptId,
    customer: run.customer,
    profile: run.profile,
    upstream: run.upstreamId,
    outcome: run.outcome,
  });
}

function describeSelf(settings: Settings): InstanceSelf {
  return {
    instanceId: settings.instanceId as InstanceId,
    dataCentre: settings.dataCentre as DataCentreId,
    address: "",
    incarnation: randomUUID().slice(0, 8),
  };
}
