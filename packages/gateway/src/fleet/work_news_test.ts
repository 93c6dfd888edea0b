import type { FleetMember } from "@gooseberryline/core";
import { expect, test } from "vitest";
import { createView } from "../testing/create_view.ts";
import { FleetView } from "./fleet_view.ts";
import { loadCodec } from "./load_codec.ts";
import { workCodec } from "./work_codec.ts";

const INSTANCES = 64;
const DATA_CENTRES = 4;

function buildMember(n: number): FleetMember {
  return {
    id: `i${n}`,
    incarnation: "1",
    address: `10.0.0.${n}`,
    port: 1,
    relayPort: 2,
    dataCentre: `dc${n % DATA_CENTRES}`,
    duty: "serve",
  };
}

function createInstance(n: number, instances = INSTANCES): FleetView {
  const { id: instanceId, dataCentre, address: host } = buildMember(n);
  const settings = { ...createView().settings, instanceId, dataCentre, host };
  const view = new FleetView(settings, "1", () => 1_000);
  Array.from({ length: instances }, (_, index) => index).forEach((index) => {
    view.members.set(buildMember(index));
  });
  return view;
}

// Guards against placing by loads that are older than the requests they tell of.
test("the own data centre hears of work in flight between load messages", () => {
  const from = createInstance(0);
  const to = createInstance(DATA_CENTRES);
  to.handleMessage(from.buildMessage(false), true);
  from.load.recordStart("u1", "online");
  const message = from.work.build();
  const heard = message && workCodec.decode(workCodec.encode(message));
  expect(heard).toEqual(message);
  expect(heard && to.work.record(heard, 1_000)).toBe(true);
  expect(to.load.countInFlight("u1", 1_000).online).toBe(1);
  const targets = from.work.listTargets();
  expect(new Set(targets.map(({ dataCentre }) => dataCentre))).toEqual(
    new Set(["dc0"]),
  );
  expect(targets).toHaveLength(INSTANCES / DATA_CENTRES - 1);
});

test("nothing is told where nothing has changed, or load messages suffice", () => {
  const view = createInstance(0);
  view.load.recordStart("u1", "online");
  expect(view.work.build()).toBeDefined();
  expect(view.work.build()).toBeUndefined();
  const small = createInstance(0, DATA_CENTRES);
  small.load.recordStart("u1", "online");
  expect(small.work.build()).toBeUndefined();
});

test("an overtaken message, one of another incarnation and one of a stranger are no news", () => {
  const from = createInstance(0);
  const to = createInstance(DATA_CENTRES);
  from.load.recordStart("u1", "online");
  const early = from.work.build();
  if (early === undefined) {
    throw new Error("there is no message");
  }
  expect(to.work.record(early, 1_000)).toBe(false);
  to.handleMessage(from.buildMessage(false), true);
  expect(to.work.record(early, 1_000)).toBe(false);
  const restarted = { ...early, incarnation: "2", sequence: 1_000 };
  expect(to.work.record(restarted, 1_000)).toBe(false);
  expect(to.load.countInFlight("u1", 1_000).online).toBe(1);
});

test("a load message and a message of work are not taken for each other", () => {
  const view = createInstance(0);
  view.load.recordStart("u1", "online");
  const work = view.work.build();
  expect(work && loadCodec.decode(workCodec.encode(work))).toBeUndefined();
  const load = loadCodec.encode(view.buildMessage(false));
  expect(workCodec.decode(load)).toBeUndefined();
  const odd = Buffer.from('{"kind":"work","from":1}');
  expect(workCodec.decode(odd)).toBeUndefined();
});
