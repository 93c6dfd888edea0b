/** Simulates the load messages of a fleet in virtual time, for tests. */
import { drawRandom, type FleetMember } from "@gooseberryline/core";
import {
  computeGossipIntervalMs,
  FleetView,
  loadCodec,
} from "@gooseberryline/gateway";

type FleetOptions = {
  readonly instances: number;
  readonly perDataCentre: number;
  readonly customers: number;
  /** Requests per second that each instance serves. */
  readonly requestsPerSecond: number;
  readonly forMs: number;
};

/** What one instance sends and receives on average, a second. */
export type LoadMessageCounts = {
  readonly messages: number;
  readonly bytes: number;
  /** Bytes that cross between data centres. */
  readonly crossingBytes: number;
  /** Entries of the messages received: upstreams, customers and instances. */
  readonly entries: number;
};

const TICK_MS = 10;
const MS_PER_SECOND = 1_000;

export function simulateLoadMessages(options: FleetOptions) {
  const { instances, perDataCentre, customers, forMs } = options;
  const clock = { nowMs: 0 };
  const names = Array.from({ length: customers }, (_, n) => `customer-${n}`);
  const fleet = Array.from({ length: instances }, (_, n) =>
    createInstance(n, perDataCentre, names, () => clock.nowMs),
  );
  const members = fleet.map((view) => buildMember(view));
  fleet.forEach((view) => {
    members.forEach((member) => {
      view.members.set(member);
    });
  });
  const byId = new Map(fleet.map((view) => [view.settings.instanceId, view]));
  const totals = { messages: 0, bytes: 0, crossingBytes: 0, entries: 0 };
  const send = (
    from: FleetView,
    targets: readonly FleetMember[],
    bytes: Buffer,
  ): void => {
    targets.forEach(({ id, dataCentre }) => {
      const message = loadCodec.decode(bytes);
      const target = byId.get(id);
      if (message === undefined || target === undefined) {
        throw new Error(`a message to ${id} can't be delivered`);
      }
      totals.messages += 1;
      totals.bytes += bytes.length;
      totals.entries += [
        ...Object.keys(message.open),
        ...Object.keys(message.use),
        ...message.unheard,
      ].length;
      if (dataCentre !== from.settings.dataCentre) {
        totals.crossingBytes += bytes.length;
      }
      const { host } = from.settings;
      send(target, target.receiveMessage(message, host), bytes);
    });
  };
  const intervalMs = computeGossipIntervalMs(instances);
  const chance = (options.requestsPerSecond * TICK_MS) / MS_PER_SECOND;
  let seed = instances;
  const draw = (): number => {
    const drawn = drawRandom(seed);
    seed = drawn.seed;
    return drawn.value;
  };
  const offsets = fleet.map(() => Math.floor(draw() * intervalMs));
  const ticks = Array.from({ length: forMs / TICK_MS }, (_, n) => n * TICK_MS);
  ticks.forEach((nowMs) => {
    clock.nowMs = nowMs;
    fleet.forEach((view, n) => {
      if (draw() < chance) {
        serveRequest(view, names[Math.floor(draw() * customers)] ?? "");
      }
      const dueMs = (nowMs + (offsets[n] ?? 0)) % intervalMs;
      if (dueMs < TICK_MS) {
        const bytes = loadCodec.encode(view.buildMessage(false));
        send(view, view.listMessageTargets(), bytes);
      }
    });
  });
  const perSecond = (total: number): number =>
    total / instances / (forMs / MS_PER_SECOND);
  const counts: LoadMessageCounts = {
    messages: perSecond(totals.messages),
    bytes: perSecond(totals.bytes),
    crossingBytes: perSecond(totals.crossingBytes),
    entries: perSecond(totals.entries),
  };
  return { counts, fleet };
}

function createInstance(
  n: number,
  perDataCentre: number,
  customers: readonly string[],
  readNowMs: () => number,
): FleetView {
  const settings = {
    instanceId: `i${n}`,
    dataCentre: `dc${Math.floor(n / perDataCentre)}`,
    duty: "serve",
    host: `host-${n}`,
    peerPort: 1,
    relayPort: 2,
    callers: undefined,
    readiness: undefined,
    metrics: undefined,
    graceMs: 1,
    isFirstStart: false,
    quotaSlack: 20,
    ramp: { over: 1, slack: 1 },
  } as const;
  const view = new FleetView(settings, "1", readNowMs);
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  const listed = customers.map((name) => buildCustomer(name));
  view.adoptConfig({
    revision: 1,
    routes: [],
    services: [],
    limits,
    access: { kind: "customers", customers: listed },
  });
  return view;
}

function buildCustomer(name: string) {
  return { name, keys: [name], ratePerSecond: 100, burst: 100 };
}

function buildMember({ settings, incarnation }: FleetView): FleetMember {
  return {
    id: settings.instanceId,
    incarnation,
    address: settings.host,
    port: settings.peerPort,
    relayPort: settings.relayPort,
    dataCentre: settings.dataCentre,
    duty: settings.duty,
  };
}

function serveRequest(view: FleetView, customer: string): void {
  view.quotas.take(customer, buildCustomer(customer), view.readNowMs());
}
