import type { IncomingMessage, ServerResponse } from "node:http";
import { CALL_SHAPES, type Route } from "@gooseberryline/core";
import { ConnectionPool } from "@gooseberryline/daemon";
import { createMetadata } from "@gooseberryline/fakes";
import type { CallDialect } from "../dialect/types.ts";
import { HeldBytes } from "../exchange/held_bytes.ts";
import type { FleetView } from "../fleet/fleet_view.ts";
import { CallerListener } from "../http/caller_listener.ts";
import { JobApi } from "../jobs/job_api.ts";
import { ResultCountFeed } from "../jobs/result_count_feed.ts";
import { PASSING } from "../passing/constants.ts";
import { ReachWatch } from "../passing/reach_watch.ts";
import { RequestPasser } from "../passing/request_passer.ts";
import { TakenRequests } from "../passing/taken_requests.ts";
import { RelayListener } from "../store/relay_listener.ts";
import { createEntry } from "./create_entry.ts";
import { createOrigins } from "./create_origins.ts";
import { createView } from "./create_view.ts";
import { findPort } from "./find_port.ts";
import { JOB_ROUTE } from "./job_route.ts";
import { plainDialect } from "./plain_dialect.ts";
import { roomyIntake } from "./roomy_intake.ts";
import { SILENT_LOG } from "./silent_log.ts";
import { type Gate, type PathState, startGate } from "./start_gate.ts";
import { startUpstream, type TestUpstream } from "./start_upstream.ts";

const HOST = "127.0.0.1";
const SERVICE = "s";
const UPSTREAMS = 4;
const NEWS_INTERVAL_MS = 25;
const CUSTOMER = {
  name: "c",
  keys: ["k"],
  ratePerSecond: 10_000,
  burst: 10_000,
};

const dialect: CallDialect = {
  ...plainDialect,
  parseCallHead: (headers) => ({
    ...plainDialect.parseCallHead(headers),
    requestId: headers["request-id"]?.toString(),
    key: headers.authorization,
    lastEventId:
      headers["last-event"] === undefined
        ? undefined
        : Number(headers["last-event"]),
  }),
};

function buildRoute(path: string, fields: Partial<Route>): Route {
  return {
    ...JOB_ROUTE,
    name: path,
    host: HOST,
    prefix: path,
    shape: CALL_SHAPES.plain,
    targets: [{ service: SERVICE, weight: 1 }],
    timeoutMs: 3_000,
    ...fields,
  };
}

const ROUTES = [
  buildRoute("/stream/", { shape: CALL_SHAPES.stream, isResumable: true }),
  buildRoute("/plain/", {}),
  buildRoute("/once/", { isIdempotent: false }),
];

type CutFleetParts = {
  readonly handle: (req: IncomingMessage, res: ServerResponse) => void;
  /** Whether the instances tell that they take requests, as older ones don't. */
  readonly isTelling?: boolean;
  /** Number of instances beside the two; none by default. */
  readonly others?: number;
};

type Instance = {
  readonly view: FleetView;
  readonly callers: string;
  readonly peers: string;
  readonly gates: readonly Gate[];
  readonly relay: RelayListener;
  readonly close: () => Promise<void>;
};

/**
 * Starts two instances or more, each with paths of its own to the same upstreams,
 * which can be cut.
 */
export async function startCutFleet({
  handle,
  isTelling = true,
  others = 0,
}: CutFleetParts) {
  const upstreams = await Promise.all(
    Array.from({ length: UPSTREAMS }, () => startUpstream(handle)),
  );
  const near = await startInstance("near", upstreams);
  const far = await startInstance("far", upstreams);
  const names = Array.from({ length: others }, (_, index) => `other-${index}`);
  const all = [
    near,
    far,
    ...(await Promise.all(names.map((name) => startInstance(name, upstreams)))),
  ];
  all.forEach(({ view }) => {
    all
      .filter((other) => other.view !== view)
      .forEach(({ view: { settings, incarnation } }) => {
        const { instanceId, dataCentre, duty, relayPort } = settings;
        const member = { id: instanceId, incarnation, dataCentre, duty };
        view.members.set({ ...member, address: HOST, port: 0, relayPort });
      });
  });
  const tell = (from: FleetView, to: FleetView): void => {
    const { isTaking, ...message } = from.buildMessage(false);
    to.handleMessage(isTelling ? { ...message, isTaking } : message, true);
  };
  const tellAll = (): void => {
    all.forEach((from) => {
      all
        .filter((to) => to !== from)
        .forEach((to) => {
          tell(from.view, to.view);
        });
    });
  };
  tellAll();
  const timer = setInterval(tellAll, NEWS_INTERVAL_MS);
  return {
    near,
    far,
    upstreams,
    cut: async (
      { gates }: Pick<Instance, "gates">,
      state: PathState,
    ): Promise<void> => {
      await Promise.all(gates.map((gate) => gate.setState(state)));
    },
    close: async (): Promise<void> => {
      clearInterval(timer);
      await Promise.all(all.map((instance) => instance.close()));
      await Promise.all(upstreams.map((upstream) => upstream.close()));
    },
  };
}

async function startInstance(
  instanceId: string,
  upstreams: readonly TestUpstream[],
): Promise<Instance> {
  const gates = await Promise.all(
    upstreams.map(({ address }) => startGate(address)),
  );
  const relayPort = await findPort();
  const view = createView("serve", { instanceId, relayPort });
  gates.forEach(({ address }, index) => {
    view.directory.set(
      createEntry({ id: `u${index}`, service: SERVICE, address }),
    );
  });
  view.adoptConfig({
    revision: 1,
    routes: ROUTES,
    services: [],
    access: { kind: "customers", customers: [CUSTOMER] },
    limits: {
      headerBytes: 10_000,
      bodyBytes: 100_000,
      headerTimeoutMs: 1_000,
      idleTimeoutMs: 5_000,
    },
  });
  const pool = new ConnectionPool(1_000);
  const log = SILENT_LOG;
  const tableCheck = { confirm: async () => true };
  const held = new HeldBytes();
  const shared = { view, dialect, log, pool, held, tableCheck };
  const { store } = createMetadata();
  const onDone = (): void => undefined;
  const listener = new CallerListener({
    ...shared,
    passer: new RequestPasser(shared),
    refusals: { record: () => undefined },
    ...roomyIntake.build(),
    origins: createOrigins(view).origins,
    jobs: new JobApi({
      ...shared,
      store,
      resultCounts: new ResultCountFeed(() => view.readNowMs()),
      onClaimsChange: () => undefined,
    }),
    onDone,
  });
  const watch = new ReachWatch({ view, log });
  const taken = new TakenRequests({ ...shared, listener, onDone });
  const relay = new RelayListener(store, {
    path: PASSING.PATH,
    handle: (req, res, intake) => taken.handle(req, res, intake),
  });
  const port = await findPort();
  await listener.start({ host: HOST, port });
  await relay.start({ host: HOST, port: relayPort });
  return {
    view,
    gates,
    relay,
    callers: `http://${HOST}:${port}`,
    peers: `http://${HOST}:${relayPort}`,
    close: async () => {
      watch.stop();
      listener.stop();
      relay.stop();
      pool.stop();
      await Promise.all(gates.map((gate) => gate.close()));
    },
  };
}
