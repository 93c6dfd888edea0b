import { placeRequest, type UpstreamEntry } from "@gooseberryline/core";
import { FleetView, loadCodec } from "@gooseberryline/gateway";

type GatewaySize = {
  readonly instances: number;
  readonly upstreams: number;
  readonly customers: number;
  readonly jobs: number;
};

type GatewayCost = {
  /** Encoded size of one load message. */
  readonly messageBytes: number;
  /** CPU time to decode and apply one load message. */
  readonly handleMs: number;
  /** CPU time to place one request. */
  readonly placeMs: number;
};

const SERVICE = "service";
const REPEATS = 400;
const SETTINGS = {
  dataCentre: "a",
  duty: "serve",
  host: "127.0.0.1",
  peerPort: 0,
  relayPort: 0,
  callers: undefined,
  readiness: undefined,
  metrics: undefined,
  graceMs: 1_000,
  isFirstStart: false,
  quotaSlack: 20,
  ramp: { over: 1, slack: 1 },
} as const;

/** Measures the gateway's cost of load messages and request placement. */
export function measureGateway(size: GatewaySize): GatewayCost {
  const upstreams = Array.from({ length: size.upstreams }, (_, index) =>
    buildUpstream(index),
  );
  const peers = Array.from({ length: size.instances - 1 }, (_, index) =>
    createView(`peer-of-the-data-centre-${index}`, size, upstreams),
  );
  const view = createView("own-instance", size, upstreams);
  const messages = peers.map((peer) =>
    loadCodec.encode(peer.buildMessage(false)),
  );
  const [firstMessage = Buffer.alloc(0)] = messages;
  const takeMs = measureMeanCpuMs((iteration) => {
    const message = loadCodec.decode(firstMessage);
    if (message !== undefined) {
      // Messages with an old sequence number would be ignored.
      const sequence = message.sequence + iteration;
      view.handleMessage({ ...message, sequence }, true);
    }
  });
  messages.forEach((bytes) => {
    const message = loadCodec.decode(bytes);
    if (message !== undefined) {
      view.handleMessage(message, true);
    }
  });
  const placeMs = measureMeanCpuMs((round) => {
    placeRequest({
      candidates: view.listCandidates(SERVICE, "online"),
      tried: new Set(),
      ownDataCentre: SETTINGS.dataCentre,
      affinityKey: `prompt-${round}`,
      meanServiceMs: 700,
      objectiveLeftMs: 300,
      maxWaitMs: 1_200,
      nowMs: view.readNowMs(),
    });
  });
  return { messageBytes: firstMessage.length, handleMs: takeMs, placeMs };
}

/** Returns the mean CPU time of a call; excludes other processes. */
function measureMeanCpuMs(call: (round: number) => void): number {
  const before = process.cpuUsage();
  Array.from({ length: REPEATS }, (_, round) => call(round));
  const { user, system } = process.cpuUsage(before);
  return (user + system) / 1_000 / REPEATS;
}

function buildUpstream(index: number): UpstreamEntry {
  return {
    id: `i-${String(index).padStart(10, "0")}`,
    service: SERVICE,
    address: `127.0.0.1:${10_000 + index}`,
    dataCentre: "a",
    slots: 8,
    isDraining: false,
    coldUntilMs: 0,
  };
}

/** Creates an instance's view with load at each upstream and its own jobs. */
function createView(
  instanceId: string,
  { customers, jobs }: GatewaySize,
  upstreams: readonly UpstreamEntry[],
): FleetView {
  const view = new FleetView({ ...SETTINGS, instanceId }, "abcdef01", () =>
    performance.now(),
  );
  view.adoptConfig({
    revision: 1,
    routes: [],
    services: [],
    access: {
      kind: "customers",
      customers: Array.from({ length: customers }, (_, index) => ({
        name: `customer-${index}`,
        keys: [`key-${index}`],
        ratePerSecond: 100,
        burst: 20,
      })),
    },
    limits: {
      headerBytes: 1,
      bodyBytes: 1,
      headerTimeoutMs: 1,
      idleTimeoutMs: 1,
    },
  });
  upstreams.forEach((entry) => {
    view.directory.set(entry);
    view.load.recordStart(entry.id, "online");
    view.load.recordActivity(entry.id, performance.now());
  });
  view.readResultCounts = () =>
    Object.fromEntries(
      Array.from({ length: jobs }, (_, index) => [`job-of-${index}-0123`, 5]),
    );
  return view;
}
