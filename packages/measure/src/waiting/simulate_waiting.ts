import { simulatePlacing } from "../placing_at_size/simulate_placing.ts";
import { CallTally } from "./call_tally.ts";
import type { WaitingCounts, WaitingOptions } from "./types.ts";
import { VirtualCallServer } from "./virtual_server.ts";

const DATA_CENTRES = 4;
/** Instances that run items, in a fleet without any. */
const WORKERS = 10;

/** Simulates callers that compete for too little room, in virtual time. */
export function simulateWaiting(options: WaitingOptions): WaitingCounts {
  const tally = new CallTally();
  const servers: VirtualCallServer[] = [];
  const { attempts, crowded } = simulatePlacing(
    {
      ...options,
      workers: WORKERS,
      dataCentres: DATA_CENTRES,
      itemRate: options.itemRate,
    },
    (fleet, view) => {
      const server = new VirtualCallServer(
        fleet,
        view,
        options,
        tally,
        servers,
      );
      servers.push(server);
      return server;
    },
  );
  const { all, large, customers } = tally;
  return { all, large, customers, attempts, crowded };
}
