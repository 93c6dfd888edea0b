import type { RouteCustomer } from "@gooseberryline/core";
import type { TurnParts } from "./request_turn.ts";
import { ReturnedCalls } from "./returned_calls.ts";
import type { RoomParts } from "./types.ts";
import { WaitingRooms } from "./waiting_rooms.ts";

type StartedRooms = { readonly room: WaitingRooms; readonly turns: TurnParts };

/** Creates an instance's rooms where the settings call for them. */
export function startRooms(
  parts: Pick<RoomParts, "view" | "log" | "onOutcome">,
): StartedRooms | undefined {
  const { view } = parts;
  if (view.settings.queueAtInstances !== true) {
    return undefined;
  }
  const room = new WaitingRooms({
    ...parts,
    runLater: (delayMs, step) => {
      setTimeout(step, delayMs).unref();
    },
    draw: Math.random,
  });
  const turns = {
    rooms: room,
    returned: new ReturnedCalls(),
    readNowMs: () => view.readNowMs(),
    getMeanServiceTimeMs: (service: string) =>
      view.load.getMeanServiceTimeMs(service),
    isOverRate: (customer: RouteCustomer) =>
      !view.quotas.canTake(customer.name, customer, view.readNowMs()),
  };
  return { room, turns };
}
