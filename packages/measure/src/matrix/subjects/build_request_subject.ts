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

const ENTRY_INSTANCE = "a-0" as InstanceId;
const PROBE_ID = "probe" as WorkId;
const DEADLINE_MS = 8_000;
const SHORT_PERIOD_MS = 400;
const BACKGROUND_RATE = 400;

/** Builds the subject for one online request with the given profile. */
export function buildRequestSubject(profile: "counter" | "charge"): Subject {
  const isIdempotent = profile === "counter";
  const sendProbe = (fleet: SoakFleet, deadlineMs = DEADLINE_MS): void => {
    fleet.world.submitRequest(
      ENTRY_INSTANCE,
      buildProbe(fleet, profile, deadlineMs),
    );
  };
  const scenarios: readonly Scenario[] = [
    { name: "alone", start: sendProbe },
    {
      name: "in a crowd",
      start: (fleet) => {
        sendBackgroundLoad(fleet, ["c2", "c3", "c4"]);
        sendProbe(fleet);
      },
    },
    {
      name: "over the rate",
      start: (fleet) => {
        sendBackgroundLoad(fleet, ["c1"]);
        sendProbe(fleet);
      },
    },
    { name: "too late", start: (fleet) => sendProbe(fleet, SHORT_PERIOD_MS) },
    {
      name: "cut off",
      start: (fleet) => {
        fleet.world.engines.forEach((engine) => {
          engine.setFault({ cutShare: 1 });
        });
        sendProbe(fleet);
      },
    },
    {
      name: "abandoned",
      start: (fleet) => {
        sendProbe(fleet);
        fleet.world.queue.schedule(SHORT_PERIOD_MS, () =>
          abandonCall(fleet.world, ENTRY_INSTANCE, PROBE_ID),
        );
      },
    },
  ];
  return {
    name: isIdempotent ? "request" : "non-idempotent request",
    chart: "work",
    // Only non-idempotent requests claim an idempotency key.
    absentSteps: isIdempotent ? ["claiming"] : [],
    requiredEnd: {
      steps: ["running", "answering"],
      isReached: ({ world }) =>
        world.ledger.findCall(PROBE_ID)?.end?.kind === "answered",
    },
    scenarios,
    readStep: (fleet) => findWork(fleet)?.phase ?? readFinalStep(fleet),
    locate: (fleet) => {
      const attempt = findWork(fleet)?.attempt;
      return {
        instanceId: ENTRY_INSTANCE,
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
  const order = buildOrder(request, { workId: PROBE_ID, world });
  return profile === "counter" ? order : { ...order, claimKey: "probe-key" };
}

/** Saturates the upstreams with requests of the given customers. */
function sendBackgroundLoad(
  fleet: SoakFleet,
  customers: readonly string[],
): void {
  customers.forEach((customer, customerIndex) => {
    generateArrivals(fleet.world, {
      seed: customerIndex + 1,
      customer,
      rate: BACKGROUND_RATE,
      untilMs: fleet.world.nowMs + SHORT_PERIOD_MS,
      deadlineMs: DEADLINE_MS,
      pickInstance: () => ENTRY_INSTANCE,
    });
  });
  fleet.world.runFor(SHORT_PERIOD_MS);
}

function findWork({ world }: SoakFleet): Work | undefined {
  const state = world.getState(ENTRY_INSTANCE);
  return state === undefined ? undefined : getSharded(state.works, PROBE_ID);
}

/** Returns the final step of a probe that the instance no longer tracks. */
function readFinalStep({ world }: SoakFleet): string | undefined {
  const end = world.ledger.findCall(PROBE_ID)?.end;
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
