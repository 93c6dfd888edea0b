import type { ConfigDocument } from "@gooseberryline/core";
import { LoadThread, type MeasuredLoad } from "../relay/load_thread.ts";
import { type RelayKind, startRelay } from "../relay/start_relay.ts";
import { startSystem } from "../support/start_system.ts";
import type { Measure } from "./types.ts";

const MEASURE = "relay-overhead";
const TOKEN_MS = 68;
/** At 68 ms per token: 12,500 tokens per second, a node's peak load. */
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
type Figure = readonly [value: number, unit: string];

/**
 * Measures the relay overhead: the latency that the daemon adds to the first
 * and to each further token, and the chunks per second that one process relays
 * on one core. Engines and callers run on a separate thread.
 */
export const RELAY_OVERHEAD: Measure = {
  name: MEASURE,
  target: "product relays >= 25000 chunks/s on one core",
  run: async (seed) => {
    const thread = new LoadThread();
    const engineUrls = await thread.open();
    const direct: Target = { policy: "direct", url: engineUrls[0] ?? "" };
    const unrelayed = await measurePaced(thread, direct, { seed, times: 1 });
    const system = await startSystem({
      engines: 0,
      changeConfig: (document) => addEngines(document, engineUrls),
    });
    const product = { policy: "product", url: system.callerUrl };
    const rows = [
      ...describePaced(direct.policy, unrelayed, unrelayed, 1),
      ...(await measureTarget(thread, product, { seed, unrelayed })),
    ];
    const baselines = await measureBaselines(thread, engineUrls, {
      seed,
      unrelayed,
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

type PolicyRow = readonly [policy: string, row: Figure];
type Reference = { readonly seed: number; readonly unrelayed: MeasuredLoad };

async function measureBaselines(
  thread: LoadThread,
  engineUrls: readonly string[],
  reference: Reference,
): Promise<readonly PolicyRow[]> {
  const rows: PolicyRow[] = [];
  for await (const policy of BASELINES) {
    const relay = await startRelay(policy, engineUrls);
    const target = { policy, url: relay.url };
    rows.push(...(await measureTarget(thread, target, reference)));
    relay.close();
  }
  return rows;
}

async function measureTarget(
  thread: LoadThread,
  target: Target,
  { seed, unrelayed }: Reference,
): Promise<readonly PolicyRow[]> {
  await thread.run({
    ...FULL_LOAD,
    targetUrl: target.url,
    durationMs: WARM_UP_MS,
    rampRequests: RAMP_REQUESTS,
    seed,
  });
  const atNeed = await measurePaced(thread, target, { seed, times: 1 });
  const atDoubleNeed = await measurePaced(thread, target, { seed, times: 2 });
  const atFullLoad = await thread.run({
    ...FULL_LOAD,
    targetUrl: target.url,
    durationMs: DURATION_MS,
    seed: seed + 2,
  });
  const chunksPerSecond =
    (atFullLoad.delivered / atFullLoad.elapsedMs) * MS_PER_SECOND;
  return [
    ...describePaced(target.policy, atNeed, unrelayed, 1),
    ...describePaced(target.policy, atDoubleNeed, unrelayed, 2),
    [target.policy, [Math.round(chunksPerSecond), "chunks/s, one core"]],
    [
      target.policy,
      [toPercent(atFullLoad.relayBusy), "% of relay thread, full"],
    ],
    [target.policy, [toPercent(atFullLoad.loadBusy), "% of load thread, full"]],
  ];
}

function measurePaced(
  thread: LoadThread,
  { url }: Target,
  { seed, times }: { readonly seed: number; readonly times: number },
): Promise<MeasuredLoad> {
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
  run: MeasuredLoad,
  unrelayed: MeasuredLoad,
  times: number,
): readonly PolicyRow[] {
  const load = `need x${times}`;
  const computeAddedMs = (us: number, unrelayedUs: number): number =>
    Math.max(0, us - unrelayedUs) / US_PER_MS;
  const perSecond = (run.delivered / run.elapsedMs) * MS_PER_SECOND;
  const added = {
    tokenP50: computeAddedMs(run.tokenUs.p50, unrelayed.tokenUs.p50),
    tokenP99: computeAddedMs(run.tokenUs.p99, unrelayed.tokenUs.p99),
    firstP50: computeAddedMs(run.firstTokenUs.p50, unrelayed.firstTokenUs.p50),
    firstP99: computeAddedMs(run.firstTokenUs.p99, unrelayed.firstTokenUs.p99),
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
    throw new Error(
      'the document has no profile "standard" or customer "demo"',
    );
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
