import {
  getSharded,
  type InstanceId,
  type Work,
  type WorkId,
  type WorkOrder,
} from "@gooseberryline/core";
import { abandonCall } from "../../soak/abandon_call.ts";
import type { SoakFleet } from "../../soak/soak_fleet.ts";
import { buildOrder } from "../../world/build_order.ts";
import { generateArrivals } from "../../world/generate_arrivals.ts";
import type { Scenario, Subject } from "../types.ts";

const HOME = "a-0" as InstanceId;
const PROBE = "probe" as WorkId;
const DEADLINE_MS = 8_000;
const SHORT_MS = 400;
const CROWD_RATE = 400;

/** Builds the subject "one online request" for a profile. */
export function buildRequestSubject(profile: "counter" | "charge"): Subject {
  const isIdempotent = profile === "counter";
  const send = (fleet: SoakFleet, deadlineMs = DEADLINE_MS): void => {
    fleet.world.arrive(HOME, buildProbe(fleet, profile, deadlineMs));
  };
  const scenarios: readonly Scenario[] = [
    { name: "alone", start: send },
    {
      name: "in a crowd",
      start: (fleet) => {
        sendCrowd(fleet, ["c2", "c3", "c4"]);
        send(fleet);
      },
    },
    {
      name: "over the rate",
      start: (fleet) => {
        sendCrowd(fleet, ["c1"]);
        send(fleet);
      },
    },
    { name: "too late", start: (fleet) => send(fleet, SHORT_MS) },
    {
      name: "cut off",
      start: (fleet) => {
        fleet.world.engines.forEach((engine) => {
          engine.setFault({ cutShare: 1 });
        });
        send(fleet);
      },
    },
    {
      name: "abandoned",
      start: (fleet) => {
        send(fleet);
        fleet.world.queue.schedule(SHORT_MS, () =>
          abandonCall(fleet.world, HOME, PROBE),
        );
      },
    },
  ];
  return {
    name: isIdempotent ? "request" : "non-idempotent request",
    chart: "work",
    // Only a non-idempotent request claims its key.
    absentSteps: isIdempotent ? ["claiming"] : [],
    owed: {
      steps: ["running", "answering"],
      isFulfilled: ({ world }) =>
        world.ledger.findCall(PROBE)?.end?.kind === "answered",
    },
    scenarios,
    readStep: (fleet) => findWork(fleet)?.phase ?? readEnd(fleet),
    locate: (fleet) => {
      const attempt = findWork(fleet)?.attempt;
      return {
        instanceId: HOME,
        upstreamId: attempt?.upstreamId,
        attemptId: attempt?.attemptId,
      };
    },
    listFaults: (fleet) =>
      findWork(fleet) === undefined ? [] : ["the probe still runs at rest"],
  };
}

function buildProbe(
  { world }: SoakFleet,
  profile: "counter" | "charge",
  deadlineMs: number,
): WorkOrder {
  const request = { customer: "c1", profile, deadlineMs };
  const order = buildOrder(request, { workId: PROBE, world });
  return profile === "counter" ? order : { ...order, claimKey: "probe-key" };
}

/** Fills the upstreams with requests of every customer. */
function sendCrowd(fleet: SoakFleet, customers: readonly string[]): void {
  customers.forEach((customer, at) => {
    generateArrivals(fleet.world, {
      seed: at + 1,
      customer,
      rate: CROWD_RATE,
      untilMs: fleet.world.nowMs + SHORT_MS,
      deadlineMs: DEADLINE_MS,
      pick: () => HOME,
    });
  });
  fleet.world.runFor(SHORT_MS);
}

function findWork({ world }: SoakFleet): Work | undefined {
  const state = world.stateOf(HOME);
  return state === undefined ? undefined : getSharded(state.works, PROBE);
}

/** The final step of a probe that the instance no longer holds. */
function readEnd({ world }: SoakFleet): string | undefined {
  const end = world.ledger.findCall(PROBE)?.end;
  switch (end?.kind) {
    case "answered":
      return "completed";
    case "refused":
      return end.refusal.run === "not run" ? "refused" : "failed";
    case "lost":
    case "abandoned":
      return "cancelled";
    case undefined:
      return undefined;
  }
}
