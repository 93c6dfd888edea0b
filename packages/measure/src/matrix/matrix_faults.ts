import type { DataCentreId, InstanceEvent } from "@gooseberryline/core";
import type { SoakFleet } from "../soak/soak_fleet.ts";
import type { FaultTarget, MatrixFault } from "./types.ts";

const PAUSE_MS = 12_000;
const SLOW_STORE_DELAY_MS = 1_500;

const noop = (): void => undefined;

const getDataCentre = ({ instanceId }: FaultTarget): DataCentreId =>
  instanceId.split("-")[0] as DataCentreId;

const isolateFromPeers = ({ world }: SoakFleet, target: FaultTarget): void => {
  world.instanceIds
    .filter((id) => id !== target.instanceId)
    .forEach((id) => {
      world.network.cut(target.instanceId, id);
    });
};

const isolateDataCentre = ({ world }: SoakFleet, target: FaultTarget): void => {
  const id = getDataCentre(target);
  Object.keys(world.config.document.dataCentres)
    .filter((other) => other !== id)
    .forEach((other) => {
      world.network.cut(id, other);
    });
};

const isolateFromPlatform = (
  { world }: SoakFleet,
  target: FaultTarget,
): void => {
  world.network.cut(getDataCentre(target), "platform");
};

const endPartitions = ({ world }: SoakFleet): void => {
  world.network.healAll();
};

const setDataCentreState = (
  { world }: SoakFleet,
  target: FaultTarget,
  state: "in" | "out",
): void => {
  const { document } = world.config;
  const dataCentres = {
    ...document.dataCentres,
    [getDataCentre(target)]: { state },
  };
  world.setConfig({ ...document, dataCentres });
};

const postLateOutcome = ({ world }: SoakFleet, target: FaultTarget): void => {
  const { attemptId, instanceId } = target;
  if (attemptId === undefined) {
    return;
  }
  const event: InstanceEvent = {
    kind: "attempt-ended",
    attemptId,
    outcome: { kind: "completed", status: 200, tokens: 1 },
  };
  world.queue.schedule(PAUSE_MS, () => world.dispatch(instanceId, event));
};

/** All faults of the design page that the simulated world can reproduce. */
export const MATRIX_FAULTS: readonly MatrixFault[] = [
  { name: "none", shouldAnswerRunning: true, startFault: noop, endFault: noop },
  {
    name: "worker dies",
    shouldAnswerRunning: false,
    startFault: ({ world }, { upstreamId }) => {
      if (upstreamId !== undefined) {
        world.engines.get(upstreamId)?.setFault({ isDown: true });
        world.engines.get(upstreamId)?.startCold();
      }
    },
    endFault: ({ world }) => {
      world.engines.forEach((engine) => {
        engine.setFault({ isDown: false });
      });
    },
  },
  {
    name: "instance lost",
    shouldAnswerRunning: false,
    startFault: ({ world }, { instanceId }) => world.kill(instanceId),
    endFault: ({ world }, target) => {
      if (!world.instanceIds.includes(target.instanceId)) {
        world.start(target.instanceId, getDataCentre(target));
      }
    },
  },
  {
    name: "key withdrawn",
    shouldAnswerRunning: false,
    startFault: (fleet) => fleet.apply({ kind: "withdraw-key", customer: 0 }),
    endFault: noop,
  },
  {
    name: "upstream turns cold",
    shouldAnswerRunning: false,
    startFault: ({ world }, { upstreamId }) => {
      if (upstreamId !== undefined) {
        world.engines.get(upstreamId)?.startCold();
      }
    },
    endFault: noop,
  },
  {
    name: "store down",
    shouldAnswerRunning: true,
    startFault: ({ world }) => world.store.setFaults({ isDown: true }),
    endFault: ({ world }) => world.store.setFaults({ isDown: false }),
  },
  {
    name: "store slow",
    shouldAnswerRunning: true,
    startFault: ({ world }) =>
      world.store.setFaults({ delayMs: SLOW_STORE_DELAY_MS }),
    endFault: ({ world }) => world.store.setFaults({ delayMs: 2 }),
  },
  {
    name: "store loses answers",
    shouldAnswerRunning: true,
    startFault: ({ world }) => world.store.setFaults({ loseAnswers: 3 }),
    endFault: ({ world }) => world.store.setFaults({ loseAnswers: 0 }),
  },
  {
    name: "holder paused past its lease",
    shouldAnswerRunning: false,
    startFault: ({ world }, { instanceId }) => {
      world.pause(instanceId);
      world.queue.schedule(PAUSE_MS, () => world.resume(instanceId));
    },
    endFault: noop,
  },
  {
    name: "operators race",
    shouldAnswerRunning: true,
    startFault: ({ world }) => {
      const { document } = world.config;
      world.setConfig(document);
      world.setConfig(document);
    },
    endFault: noop,
  },
  {
    name: "connection goes silent",
    shouldAnswerRunning: false,
    startFault: ({ world }, { upstreamId, attemptId }) => {
      if (upstreamId !== undefined && attemptId !== undefined) {
        world.engines.get(upstreamId)?.dropAnswer(attemptId);
      }
    },
    endFault: noop,
  },
  {
    name: "late answer",
    shouldAnswerRunning: true,
    startFault: postLateOutcome,
    endFault: noop,
  },
  {
    name: "data centre out and back",
    shouldAnswerRunning: true,
    startFault: (fleet, target) => setDataCentreState(fleet, target, "out"),
    endFault: (fleet, target) => setDataCentreState(fleet, target, "in"),
  },
  {
    name: "cut off from peers",
    shouldAnswerRunning: true,
    startFault: isolateFromPeers,
    endFault: endPartitions,
  },
  {
    name: "data centre cut off",
    shouldAnswerRunning: true,
    startFault: isolateDataCentre,
    endFault: endPartitions,
  },
  {
    name: "cut off from the platform",
    shouldAnswerRunning: true,
    startFault: isolateFromPlatform,
    endFault: endPartitions,
  },
  {
    name: "cut off from both",
    shouldAnswerRunning: true,
    startFault: (fleet, target) => {
      isolateDataCentre(fleet, target);
      isolateFromPlatform(fleet, target);
    },
    endFault: endPartitions,
  },
  {
    name: "planned stop",
    shouldAnswerRunning: true,
    startFault: ({ world }, { instanceId }) =>
      world.dispatch(instanceId, { kind: "stop-asked" }),
    endFault: noop,
  },
];
