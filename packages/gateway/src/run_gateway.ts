import { randomUUID } from "node:crypto";
import {
  batchKeys,
  DUTIES,
  type EventLog,
  type MetadataStore,
} from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { BlockKeeper } from "./crashes/block_keeper.ts";
import { CrashWatch } from "./crashes/crash_watch.ts";
import { listBlockFields } from "./crashes/list_block_fields.ts";
import type { Dialect } from "./dialect/types.ts";
import { EXCHANGE } from "./exchange/constants.ts";
import { HeldBytes } from "./exchange/held_bytes.ts";
import { FleetView } from "./fleet/fleet_view.ts";
import { MembershipTask } from "./fleet/membership_task.ts";
import { PeerLink } from "./fleet/peer_link.ts";
import { RecordWatches } from "./fleet/record_watches.ts";
import { handleRetirement } from "./handle_retirement.ts";
import { CallerListener } from "./http/caller_listener.ts";
import { drainCallers } from "./http/drain_callers.ts";
import { StatusListener } from "./http/status_listener.ts";
import { JobApi } from "./jobs/job_api.ts";
import { JobRunner } from "./jobs/job_runner.ts";
import { JobSweeper } from "./jobs/job_sweeper.ts";
import { ResultCountFeed } from "./jobs/result_count_feed.ts";
import { createGatewayMetrics } from "./metrics/create_gateway_metrics.ts";
import { PASSING } from "./passing/constants.ts";
import { ReachWatch } from "./passing/reach_watch.ts";
import { RequestPasser } from "./passing/request_passer.ts";
import { TakenRequests } from "./passing/taken_requests.ts";
import { ConfigFreshness } from "./refusals/config_freshness.ts";
import { RefusalRecorder } from "./refusals/refusal_recorder.ts";
import { TableCheck } from "./refusals/table_check.ts";
import { listRolloutFigures } from "./rollouts/list_rollout_figures.ts";
import { RolloutKeeper } from "./rollouts/rollout_keeper.ts";
import type { GatewaySettings } from "./settings/types.ts";
import { SHUTDOWN_TIMES } from "./shutdown_times.ts";
import { countStoreCalls } from "./store/count_store_calls.ts";
import { RelayClient } from "./store/relay_client.ts";
import { RelayListener } from "./store/relay_listener.ts";
import { RelayedStore } from "./store/relayed_store.ts";
import { reportStoreContact } from "./store/report_store_contact.ts";
import { createStreamOrigins } from "./streams/create_stream_origins.ts";

export type GatewayParts = {
  readonly settings: GatewaySettings;
  readonly store: MetadataStore;
  readonly dialect: Dialect;
  readonly log: EventLog;
  /** Returns the faults of the program since its start, for the metrics. */
  readonly countFaults: () => number;
};

/** A running gateway. */
export type Gateway = {
  /**
   * Finishes the requests in flight within the grace period, then stops the
   * instance.
   */
  readonly stop: () => Promise<void>;
};

const METRICS_PATH = "/metrics";
const BLOCKS_PATH = "/blocks";
const OK = 200;
const UNAVAILABLE = 503;

/**
 * Runs one instance, which serves callers or runs batch items according to its
 * duty.
 */
export async function runGateway(parts: GatewayParts): Promise<Gateway> {
  const { settings, dialect, log } = parts;
  const incarnation = randomUUID().slice(0, 8);
  const view = new FleetView(settings, incarnation, () => performance.now());
  const metrics = createGatewayMetrics();
  const direct = countStoreCalls(parts.store, metrics.recordStoreCall);
  const relayed = new RelayedStore({
    direct,
    choosePeer: (avoidedId) => view.storeRelays.choose(avoidedId),
    chooseInformedPeer: (prefix, after, avoidedId) =>
      view.storeRelays.chooseInformed(prefix, after, avoidedId),
    relay: new RelayClient(),
    log,
    readNowMs: () => view.readNowMs(),
    onDirectContact: (isReached) => {
      view.hasStore = isReached;
    },
  });
  const freshness = new ConfigFreshness(() => view.readNowMs());
  const store = reportStoreContact(relayed.build(), (isReached) => {
    view.directory.recordStoreContact(isReached, view.readNowMs());
    freshness.recordStoreContact(isReached);
  });
  const detour = relayed.buildDetour();
  const pool = new ConnectionPool(EXCHANGE.IDLE_TIMEOUT_MS);
  const held = new HeldBytes();
  const shared = { view, pool, dialect: dialect.calls, log, store, held };
  const state = { isLoaded: false, isStopping: false };
  const resultCounts = new ResultCountFeed(() => view.readNowMs());
  const tableCheck = {
    confirm: (missing: string) => confirmer.confirm(missing),
  };
  const jobs = new JobApi({
    ...shared,
    tableCheck,
    resultCounts,
    onClaimsChange: (revision) =>
      watches.recordChange(batchKeys.claimPrefix, revision),
  });
  const streams = createStreamOrigins({ view, store, log }, dialect.records);
  const { origins, versions } = streams;
  const onDone = metrics.recordRequest;
  const listener = new CallerListener({
    ...shared,
    jobs,
    origins,
    tableCheck,
    passer: new RequestPasser(shared),
    refusals: new RefusalRecorder({
      view,
      log,
      freshness,
      onRefused: metrics.recordRefusal,
    }),
    onDone,
  });
  const reachWatch = new ReachWatch({ view, log });
  const taken = new TakenRequests({ ...shared, listener, onDone });
  const relay = new RelayListener(direct, {
    path: PASSING.PATH,
    handle: (req, res) => taken.handle(req, res),
  });
  const runner = new JobRunner(shared);
  const sweeper = new JobSweeper(shared);
  const blocks = new BlockKeeper({ store, tracker: view.crashes, log });
  const crashWatch = new CrashWatch({ view, log });
  const rollouts = new RolloutKeeper({
    view,
    store,
    dialect: dialect.records,
    log,
  });
  const watches = new RecordWatches({
    view,
    store,
    detour,
    blocks,
    versions,
    rollouts,
    freshness,
    dialect: dialect.records,
    log,
    onAddressLeft: (address) => pool.closeIdle(`http://${address}`),
    onConfig: (dropped) => {
      listener.applyLimits();
      confirmer.recordMissing(dropped);
    },
    onClaimEvent:
      settings.duty === DUTIES.run
        ? (event) => runner.handleClaimEvent(event)
        : undefined,
    onRetiredChange: (isRetired) =>
      void handleRetirement(parts, runner, isRetired),
  });
  const confirmer = new TableCheck({
    view,
    store,
    detour,
    watch: watches.operators,
    freshness,
    log,
  });
  const { id, host, peerPort } = { ...settings, id: settings.instanceId };
  const membership = new MembershipTask({
    store,
    log,
    member: {
      id,
      incarnation,
      address: host,
      port: peerPort,
      relayPort: settings.relayPort,
      dataCentre: settings.dataCentre,
      duty: settings.duty,
    },
  });
  view.limits.onChange = (upstream, perSecond, source) =>
    log.info("upstream-limit", { upstream, perSecond, source });
  view.onPeerLoad = () => {
    // Without runs there is no slot to yield.
    if (runner.countRunning() > 0) {
      runner.handleLoadChange();
    }
  };
  view.readResultCounts = () => runner.listResultCounts();
  view.onPeerResultCounts = (listed) => resultCounts.recordCounts(listed);
  view.readWatchRevisions = () => watches.listRevisions();
  view.onPeerWatchRevisions = (seen) => watches.recordPeerRevisions(seen);
  view.onConfigBehind = () => watches.requestConfig();
  const peers = new PeerLink(view, log);
  const status = new StatusListener({
    [dialect.readinessPath]: () => {
      const isReady =
        state.isLoaded && view.table !== undefined && !state.isStopping;
      return { status: isReady ? OK : UNAVAILABLE, text: "" };
    },
  });
  const report = new StatusListener({
    [BLOCKS_PATH]: () => ({
      status: OK,
      text: JSON.stringify(view.crashes.blocks.map(listBlockFields)),
    }),
    [METRICS_PATH]: async () => {
      metrics.setGauge("requests_open", listener.countInFlight());
      metrics.setGauge("answer_bytes_held", held.total);
      metrics.setGauge("prompt_blocks", view.crashes.blocks.length);
      metrics.setGauge("jobs_over_limit", jobs.countOverLimit());
      metrics.setGauge("program_faults", parts.countFaults());
      metrics.setGauge("items_running", runner.countRunning());
      metrics.setGauge("upstreams_known", view.directory.count());
      metrics.setRollouts(listRolloutFigures(view));
      return { status: OK, text: await metrics.render() };
    },
  });

  if (settings.metrics !== undefined) {
    await report.start(settings.metrics);
  }
  if (settings.readiness !== undefined) {
    await status.start(settings.readiness);
  }
  if (settings.callers !== undefined) {
    await listener.start(settings.callers);
  }
  await relay.start({ host, port: settings.relayPort });
  await peers.start();
  membership.start();
  if (settings.duty === DUTIES.run) {
    runner.start();
    sweeper.start();
  }
  log.info("started", { incarnation, duty: settings.duty });
  void watches.start().then(() => {
    state.isLoaded = true;
    versions.start();
    rollouts.start();
    log.info("ready", { sinceStartMs: Math.round(performance.now()) });
  });

  const stopAll = async (): Promise<void> => {
    const startedMs = view.readNowMs();
    state.isStopping = true;
    log.info("stopping", { open: listener.countInFlight() });
    const stop = {
      noticeEndMs: startedMs + SHUTDOWN_TIMES.NOTICE_MS,
      endMs: startedMs + settings.graceMs - SHUTDOWN_TIMES.MARGIN_MS,
    };
    await Promise.all([
      runner.releaseAll(),
      settings.callers === undefined
        ? undefined
        : drainCallers(listener, stop, () => view.readNowMs()),
    ]);
    runner.stop();
    sweeper.stop();
    watches.stop();
    blocks.stop();
    versions.stop();
    rollouts.stop();
    crashWatch.stop();
    reachWatch.stop();
    await streams.writer.stop();
    await membership.stop();
    peers.stop();
    relay.stop();
    listener.stop();
    status.stop();
    report.stop();
    pool.stop();
    log.info("stopped", { tookMs: Math.round(view.readNowMs() - startedMs) });
  };
  const shutdown: { promise?: Promise<void> } = {};
  return {
    stop: () => {
      shutdown.promise ??= stopAll();
      return shutdown.promise;
    },
  };
}
