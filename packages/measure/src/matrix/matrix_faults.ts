import type { DataCentreId, InstanceEvent } from "@gooseberryline/core";
import type { SoakFleet } from "../soak/soak_fleet.ts";
import type { MatrixFault, Place } from "./types.ts";

const PAUSE_MS = 12_000;
const SLOW_MS = 1_500;

const nothing = (): void => undefined;

const dataCentreOf = ({ instanceId }: Place): DataCentreId =>
  instanceId.split("-")[0] as DataCentreId;

const cutPeers = ({ world }: SoakFleet, place: Place): void => {
  world.instanceIds
    .filter((id) => id !== place.instanceId)
    .forEach((id) => {
      world.network.cut(place.instanceId, id);
    });
};

const cutDataCentre = ({ world }: SoakFleet, place: Place): void => {
  const id = dataCentreOf(place);
  Object.keys(world.config.document.dataCentres)
    .filter((other) => other !== id)
    .forEach((other) => {
      world.network.cut(id, other);
    });
};

const cutPlatform = ({ world }: SoakFleet, place: Place): void => {
  world.network.cut(dataCentreOf(place), "platform");
};

const heal = ({ world }: SoakFleet): void => {
  world.network.healAll();
};

const setDataCentre = (
  { world }: SoakFleet,
  place: Place,
  state: "in" | "out",
): void => {
  const { document } = world.config;
  const dataCentres = {
    ...document.dataCentres,
    [dataCentreOf(place)]: { state },
  };
  world.setConfig({ ...document, dataCentres });
};

const postLate = ({ world }: SoakFleet, place: Place): void => {
  const { attemptId, instanceId } = place;
  if (attemptId === undefined) {
    return;
  }
  const event: InstanceEvent = {
    kind: "attempt-ended",
    attemptId,
    outcome: { kind: "completed", status: 200, tokens: 1 },
  };
  world.queue.schedule(PAUSE_MS, () => world.post(instanceId, event));
};

/** Every fault of the design page's list that the world can bring about. */
export const MATRIX_FAULTS: readonly MatrixFault[] = [
  { name: "none", isSparing: true, strike: nothing, mend: nothing },
  {
    name: "worker dies",
    isSparing: false,
    strike: ({ world }, { upstreamId }) => {
      if (upstreamId !== undefined) {
        world.engines.get(upstreamId)?.setFault({ isDown: true });
        world.engines.get(upstreamId)?.turnCold();
      }
    },
    mend: ({ world }) => {
      world.engines.forEach((engine) => {
        engine.setFault({ isDown: false });
      });
    },
  },
  {
    name: "instance lost",
    isSparing: false,
    strike: ({ world }, { instanceId }) => world.kill(instanceId),
    mend: ({ world }, place) => {
      if (!world.instanceIds.includes(place.instanceId)) {
        world.start(place.instanceId, dataCentreOf(place));
      }
    },
  },
  {
    name: "key withdrawn",
    isSparing: false,
    strike: (fleet) => fleet.apply({ kind: "withdraw-key", customer: 0 }),
    mend: nothing,
  },
  {
    name: "upstream turns cold",
    isSparing: false,
    strike: ({ world }, { upstreamId }) => {
      if (upstreamId !== undefined) {
        world.engines.get(upstreamId)?.turnCold();
      }
    },
    mend: nothing,
  },
  {
    name: "store down",
    isSparing: true,
    strike: ({ world }) => world.store.setFaults({ isDown: true }),
    mend: ({ world }) => world.store.setFaults({ isDown: false }),
  },
  {
    name: "store slow",
    isSparing: true,
    strike: ({ world }) => world.store.setFaults({ delayMs: SLOW_MS }),
    mend: ({ world }) => world.store.setFaults({ delayMs: 2 }),
  },
  {
    name: "store loses answers",
    isSparing: true,
    strike: ({ world }) => world.store.setFaults({ loseAnswers: 3 }),
    mend: ({ world }) => world.store.setFaults({ loseAnswers: 0 }),
  },
  {
    name: "holder paused past its lease",
    isSparing: false,
    strike: ({ world }, { instanceId }) => {
      world.pause(instanceId);
      world.queue.schedule(PAUSE_MS, () => world.resume(instanceId));
    },
    mend: nothing,
  },
  {
    name: "operators race",
    isSparing: true,
    strike: ({ world }) => {
      const { document } = world.config;
      world.setConfig(document);
      world.setConfig(document);
    },
    mend: nothing,
  },
  {
    name: "connection goes silent",
    isSparing: false,
    strike: ({ world }, { upstreamId, attemptId }) => {
      if (upstreamId !== undefined && attemptId !== undefined) {
        world.engines.get(upstreamId)?.silence(attemptId);
      }
    },
    mend: nothing,
  },
  { name: "late answer", isSparing: true, strike: postLate, mend: nothing },
  {
    name: "data centre out and back",
    isSparing: true,
    strike: (fleet, place) => setDataCentre(fleet, place, "out"),
    mend: (fleet, place) => setDataCentre(fleet, place, "in"),
  },
  { name: "cut off from peers", isSparing: true, strike: cutPeers, mend: heal },
  {
    name: "data centre cut off",
    isSparing: true,
    strike: cutDataCentre,
    mend: heal,
  },
  {
    name: "cut off from the platform",
    isSparing: true,
    strike: cutPlatform,
    mend: heal,
  },
  {
    name: "cut off from both",
    isSparing: true,
    strike: (fleet, place) => {
      cutDataCentre(fleet, place);
      cutPlatform(fleet, place);
    },
    mend: heal,
  },
  {
    name: "planned stop",
    isSparing: true,
    strike: ({ world }, { instanceId }) =>
      world.post(instanceId, { kind: "stop-asked" }),
    mend: nothing,
  },
];
