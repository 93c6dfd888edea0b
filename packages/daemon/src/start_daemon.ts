import { randomInt } from "node:crypto";
import { mkdtemp } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import type {
  InstanceEvent,
  InstanceState,
  ListedInstance,
} from "@gooseberryline/core";
import type { Platform } from "@gooseberryline/protocol";
import { createAdminApp } from "./admin/create_admin_app.ts";
import { createFleetReports } from "./admin/create_fleet_reports.ts";
import { createLocalReports } from "./admin/create_local_reports.ts";
import { BurnTask } from "./burn/burn_task.ts";
import { CallerTask } from "./caller/caller_task.ts";
import { createCallerApp } from "./caller/create_caller_app.ts";
import { ConfigFile } from "./config/config_file.ts";
import { ConfigWatch } from "./config/config_watch.ts";
import { DataFolder } from "./jobs/data_folder.ts";
import { JobDirectory } from "./jobs/job_directory.ts";
import { JobTask } from "./jobs/job_task.ts";
import { ReplicationTask } from "./jobs/replication_task.ts";
import { SharedBlobs } from "./jobs/shared_blobs.ts";
import { createMetrics } from "./metrics/create_metrics.ts";
import { reportRequest } from "./metrics/report_request.ts";
import { watchInstance } from "./metrics/watch_instance.ts";
import { BlobClient } from "./peers/blob_client.ts";
import { countCalls, type PlatformCounts } from "./platform/count_calls.ts";
import { PlatformTask } from "./platform/platform_task.ts";
import { pollInstances } from "./platform/poll_instances.ts";
import { RunFiles } from "./runs/run_files.ts";
import { RunTask } from "./runs/run_task.ts";
import { sendRuns } from "./runs/send_runs.ts";
import type { Settings } from "./settings/types.ts";
import { createAnswers } from "./start/create_answers.ts";
import { describeSelf } from "./start/describe_self.ts";
import { drainInstance } from "./start/drain_instance.ts";
import { logRun } from "./start/log_run.ts";
import { startPeering } from "./start/start_peering.ts";
import type { Daemon, DaemonOptions } from "./start/types.ts";
import { AttemptTask } from "./tasks/attempt_task.ts";
import { CoreTask } from "./tasks/core_task.ts";
import { handleEffect } from "./tasks/handle_effect.ts";
import { listen } from "./tasks/listen.ts";
import { createPeerCredentials } from "./tls/create_peer_credentials.ts";

const SEED_LIMIT = 2 ** 32;

/** Starts an instance: first its tasks, then its listeners. */
export async function startDaemon(
  settings: Settings,
  rawPlatform: Platform,
  { log, onRun }: DaemonOptions,
): Promise<Daemon> {
  const folder =
    settings.dataFolder ?? (await mkdtemp(join(tmpdir(), "gooseberryline-")));
  const dataFolder = new DataFolder(join(folder, "blobs"));
  await dataFolder.open();
  const platformCounts: PlatformCounts = {};
  const platform = countCalls(rawPlatform, platformCounts);
  const post = (event: InstanceEvent): void => {
    burn.recordEvent(event);
    core.post(event);
  };
  const readState = (): InstanceState => core.state;
  const readConfig = () => core.state.config;
  const self = describeSelf(settings);
  const configFile =
    settings.dataFolder === undefined
      ? undefined
      : new ConfigFile(settings.dataFolder, log);
  const savedConfig = await configFile?.read();
  const burn = new BurnTask(readConfig);
  const runs = new RunTask({
    files:
      settings.dataFolder === undefined
        ? undefined
        : new RunFiles(join(settings.dataFolder, "runs")),
    sendToPeer: (batch) => sendRuns(batch, { peers, readState }),
    log,
  });
  const metrics = createMetrics(settings.metrics, {
    instance: settings.instanceId,
    data_centre: settings.dataCentre,
  });
  const localReports = createLocalReports({
    readState,
    listRuns: (query) => runs.list(query),
    listJobs: () => jobs.directory.listViews(),
    buildBurn: () => burn.buildRows(),
  });
  const peering = await startPeering(settings, self, {
    folder: self.hasDisk ? folder : undefined,
    credentials: createPeerCredentials(settings.peerListener),
    log,
    post,
    readState,
    answer: createAnswers({
      readState,
      reports: localReports,
      storeRuns: (batch) => runs.storeForPeer(batch),
    }),
  });
  // No `await` until the core is created: peers can already send messages.
  const { peers, address } = peering;
  const attempts = new AttemptTask(post);
  const calls = new CallerTask(post, (report) =>
    reportRequest(report, { log, metrics }),
  );
  const blobClient = new BlobClient(peers);
  const shared = { peers: blobClient, readState, log };
  const blobs = new SharedBlobs({ ...shared, folder: dataFolder });
  const copies = new ReplicationTask({ ...shared, blobs });
  const directory = new JobDirectory(platform, readState);
  const jobs = new JobTask({ blobs, directory, readState, post, log });
  const platformTask = new PlatformTask(platform, post);
  const watch = new ConfigWatch({
    platform,
    log,
    offer: (config) =>
      post({ kind: "config-offered", config, source: "store" }),
    report: (isReached) => post({ kind: "config-watch-ended", isReached }),
  });
  const core = new CoreTask(
    { ...self, address },
    randomInt(SEED_LIMIT),
    (effect) => {
      burn.recordEffect(effect);
      handleEffect(effect, {
        attempts,
        calls,
        jobs,
        peers,
        platform: platformTask,
        watch,
        storeConfig: (config) => configFile?.store(config),
        readConfig,
        recordRun: (run) => {
          logRun(run, { log, metrics });
          runs.record(run);
          onRun?.(run);
        },
      });
    },
  );
  if (savedConfig !== undefined) {
    core.post({ kind: "config-offered", config: savedConfig, source: "disk" });
  }
  const instancePoll = pollInstances({
    platform,
    seeds: settings.peers,
    fetchMembers: (seed) =>
      peers.queryAddress<readonly ListedInstance[]>(seed, "members"),
    offer: (list) => core.post({ kind: "instances-listed", ...list }),
  });
  const gauges = watchInstance(readState, metrics);
  const callerApp = createCallerApp({
    readConfig,
    calls,
    jobs,
    log,
    metrics,
  });
  const adminApp = createAdminApp({
    readState,
    operators: settings.operators,
    platform,
    reports: createFleetReports(localReports, { peers, readState }),
    cancelJob: ({ jobId, customer }) => jobs.cancel(jobId, customer),
    log,
  });
  const caller = await listen(
    callerApp.callback(),
    settings.callerListener,
    log,
  );
  const admin = await listen(adminApp.callback(), settings.adminListener, log);
  log.info("listening", {
    caller: caller.address,
    admin: admin.address,
    peer: address,
  });
  const closeTasks = (): void => {
    watch.stop();
    instancePoll.stop();
    core.stop();
    copies.stop();
    gauges.stop();
    metrics.close();
    attempts.stop();
    peers.stop();
    peering.server.close();
  };
  const listeners = [caller, admin];
  const stop = async (noticeMs = 0): Promise<void> => {
    await drainInstance({ post, readState, listeners, log }, noticeMs);
    await runs.stop();
    closeTasks();
    await configFile?.settle();
    log.info("stopped");
  };
  const kill = (): void => {
    closeTasks();
    listeners.forEach((listener) => {
      void listener.close(0);
    });
  };
  return {
    caller: caller.address,
    admin: admin.address,
    peer: address,
    readState,
    peerCounts: peers.counts,
    platformCounts,
    stop,
    kill,
  };
}
