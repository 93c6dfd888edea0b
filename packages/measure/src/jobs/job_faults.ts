import type { DataCentreId, InstanceId, JobId } from "@gooseberryline/core";
import type { World } from "@gooseberryline/fakes";

/** One action on a fleet with batch jobs. */
export type JobAction = {
  readonly kind: string;
  /** Index of the instance. */
  readonly at: number;
  /** Duration, count or index, depending on the kind. */
  readonly size: number;
};

type ApplyFault = (world: World, id: InstanceId, action: JobAction) => void;

const PAUSE_MS = 5_000;
const CUSTOMER = "c1" as never;

const getDataCentre = (id: InstanceId): DataCentreId =>
  id.split("-")[0] as DataCentreId;

const restartInstance = (world: World, id: InstanceId): void => {
  world.kill(id);
  world.start(id, getDataCentre(id));
};

/** Faults that can be applied to a fleet with batch jobs, by kind. */
export const JOB_FAULTS: Readonly<Record<string, ApplyFault>> = {
  wait: (world, _, { size }) => world.runFor(size * 1_000),
  kill: (world, id) => restartInstance(world, id),
  "kill for long": (world, id) => {
    world.kill(id);
    world.queue.schedule(PAUSE_MS, () => world.start(id, getDataCentre(id)));
  },
  "lose disk": (world, id) => {
    world.disks.dropDisk(id);
    restartInstance(world, id);
  },
  pause: (world, id, { size }) => {
    world.pause(id);
    world.queue.schedule(size * PAUSE_MS, () => world.resume(id));
  },
  "cut from store": (world, id) => world.network.cut(id, "platform"),
  "cut from peers": (world, id) => {
    world.instanceIds
      .filter((other) => other !== id)
      .forEach((other) => {
        world.network.cut(id, other);
      });
  },
  heal: (world) => world.network.healAll(),
  "store down": (world) => world.store.setFaults({ isDown: true }),
  "store up": (world) => world.store.setFaults({ isDown: false, delayMs: 2 }),
  "store slow": (world, _, { size }) =>
    world.store.setFaults({ delayMs: 300 * size }),
  "lost answers": (world, _, { size }) =>
    world.store.setFaults({ loseAnswers: size }),
  "engine cold": (world, _, { size }) => {
    [...world.engines.values()][size % world.engines.size]?.startCold();
  },
  stop: (world, id) => {
    world.dispatch(id, { kind: "stop-asked" });
    world.queue.schedule(PAUSE_MS, () => restartInstance(world, id));
  },
  cancel: (world, id, { size }) => {
    const jobId = `job-${size % 3}` as JobId;
    world.dispatch(id, { kind: "job-cancel-asked", jobId, customer: CUSTOMER });
  },
};
