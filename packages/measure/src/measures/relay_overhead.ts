import type { ConfigDocument } from "@gooseberryline/core";
import { LoadThread, type Measured } from "../relay/load_thread.ts";
import { type RelayKind, startRelay } from "../relay/start_relay.ts";
import { startSystem } from "../support/start_system.ts";
import type { Measure } from "./types.ts";

const MEASURE = "relay-overhead";
const TOKEN_MS = 68;
/** Streams that make 12,500 tokens a second, a node's need at the peak. */
const STREAMS = 850;
const REQUESTS_PER_SECOND = 29;
const DURATION_MS = 3_000;
const RAMP_REQUESTS = 3_000;
const WARM_UP_MS = 1_500;
const FULL_LOAD = {
  streams: STREAMS,
  tokenMs: undefined,
  requestsPerSecond: 0,
} as const;
const US_PER_MS = 1_000;
const MS_PER_SECOND = 1_000;
const PERCENT = 100;
const BASELINES: readonly RelayKind[] = [
  "got-stream",
  "http-pipe",
  "http-coalesced",
];

type Target = { readonly policy: string; readonly url: string };
type Row = readonly [value: number, unit: string];

/**
 * Measures what relaying costs: the time that the daemon adds to the first
 * and to each further token, and how many chunks a second one process relays
 * on one core. Engines and callers run on a thread of their own.
 */
export const RELAY_OVERHEAD: Measure = {
  name: MEASURE,
  target: "product relays >= 25000 chunks/s on one core",
  run: async (seed) => {
    const thread = new LoadThread();
    const engineUrls = await thread.open();
    const direct: Target = { policy: "direct", url: engineUrls[0] ?? "" };
    const bare = await measurePaced(thread, direct, { seed, times: 1 });
    const system = await startSystem({
      engines: 0,
      changeConfig: (document) => addEngines(document, engineUrls),
    });
    const product = { policy: "product", url: system.callerUrl };
    const rows = [
      ...describePaced(direct.policy, bare, bare, 1),
      ...(await measureTarget(thread, product, { seed, bare })),
    ];
    const baselines = await measureBaselines(thread, engineUrls, {
      seed,
      bare,
    });
    await thread.close();
    await system.stop();
    return [...rows, ...baselines].map(([policy, [value, unit]]) => ({
      measure: MEASURE,
      policy,
      value,
      unit,
      seed,
    }));
  },
};

type Named = readonly [policy: string, row: Row];
type Seeded = { readonly seed: number; readonly bare: Measured };

async function measureBaselines(
  thread: LoadThread,
  engineUrls: readonly string[],
  seeded: Seeded,
): Promise<readonly Named[]> {
  const rows: Named[] = [];
  for await (const policy of BASELINES) {
    const relay = await startRelay(policy, engineUrls);
    const target = { policy, url: relay.url };
    rows.push(...(await measureTarget(thread, target, seeded)));
    relay.close();
  }
  return rows;
}

async function measureTarget(
  thread: LoadThread,
  target: Target,
  { seed, bare }: Seeded,
): Promise<readonly Named[]> {
  await thread.run({
    ...FULL_LOAD,
    targetUrl: target.url,
    durationMs: WARM_UP_MS,
    rampRequests: RAMP_REQUESTS,
    seed,
  });
  const once = await measurePaced(thread, target, { seed, times: 1 });
  const twice = await measurePaced(thread, target, { seed, times: 2 });
  const full = await thread.run({
    ...FULL_LOAD,
    targetUrl: target.url,
    durationMs: DURATION_MS,
    seed: seed + 2,
  });
  const chunksPerSecond = (full.delivered / full.elapsedMs) * MS_PER_SECOND;
  return [
    ...describePaced(target.policy, once, bare, 1),
    ...describePaced(target.policy, twice, bare, 2),
    [target.policy, [Math.round(chunksPerSecond), "chunks/s, one core"]],
    [target.policy, [toPercent(full.relayBusy), "% of relay thread, full"]],
    [target.policy, [toPercent(full.loadBusy), "% of load thread, full"]],
  ];
}

function measurePaced(
  thread: LoadThread,
  { url }: Target,
  { seed, times }: { readonly seed: number; readonly times: number },
): Promise<Measured> {
  return thread.run({
    targetUrl: url,
    streams: STREAMS * times,
    tokenMs: TOKEN_MS,
    requestsPerSecond: REQUESTS_PER_SECOND * times,
    durationMs: DURATION_MS,
    seed: seed * 10 + times,
  });
}

function describePaced(
  policy: string,
  run: Measured,
  bare: Measured,
  times: number,
): readonly Named[] {
  const load = `need x${times}`;
  const addMs = (us: number, bareUs: number): number =>
    Math.max(0, us - bareUs) / US_PER_MS;
  const perSecond = (run.delivered / run.elapsedMs) * MS_PER_SECOND;
  const added = {
    tokenP50: addMs(run.tokenUs.p50, bare.tokenUs.p50),
    tokenP99: addMs(run.tokenUs.p99, bare.tokenUs.p99),
    firstP50: addMs(run.firstTokenUs.p50, bare.firstTokenUs.p50),
    firstP99: addMs(run.firstTokenUs.p99, bare.firstTokenUs.p99),
  };
  return [
    [policy, [added.firstP50, `ms added to first token p50, ${load}`]],
    [policy, [added.firstP99, `ms added to first token p99, ${load}`]],
    [policy, [added.tokenP50, `ms added per token p50, ${load}`]],
    [policy, [added.tokenP99, `ms added per token p99, ${load}`]],
    [policy, [Math.round(perSecond), `tokens/s delivered, ${load}`]],
    [policy, [toPercent(run.relayBusy), `% of relay thread, ${load}`]],
    [policy, [toPercent(run.loadBusy), `% of load thread, ${load}`]],
  ];
}

function toPercent(share: number): number {
  return Math.round(share * PERCENT);
}

function addEngines(
  document: ConfigDocument,
  engineUrls: readonly string[],
): ConfigDocument {
  const upstreams = engineUrls.map((url, index) => [
    `engine-${index}`,
    { service: "demo-model", dataCentre: "a", url, maxConcurrency: 1_000 },
  ]);
  const { standard } = document.profiles;
  const { demo } = document.customers;
  if (standard === undefined || demo === undefined) {
    throw new Error("the document lacks its customer or profile");
  }
  return {
    ...document,
    upstreams: Object.fromEntries(upstreams),
    profiles: {
      standard: { ...standard, firstTokenMs: 30_000, deadlineMs: 120_000 },
    },
    customers: { demo: { ...demo, rate: 10_000, burst: 10_000 } },
  };
}
