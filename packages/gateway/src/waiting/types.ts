/** Types of the rooms where requests wait at an instance. */
import type { EventLog, Pace, WaitingRequest } from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";

/** Outcomes of waiting, as counted and logged. */
export const TURN_OUTCOMES = {
  /** It started at once. */
  started: "started",
  /** It started after it had waited. */
  waited: "waited",
  /** It was refused when it came. */
  refused: "refused",
  /** It waited, and can't be answered in time any more. */
  givenUp: "given-up",
  /** Its caller left while it waited, or its time ended. */
  left: "left",
} as const;

export type TurnOutcome = (typeof TURN_OUTCOMES)[keyof typeof TURN_OUTCOMES];

/** A request that asks to start, before it has an id. */
export type ComingRequest = Omit<WaitingRequest, "id"> & {
  readonly requestId: string | undefined;
};

/** Says why a request does not start, and when its caller should return. */
export type TurnRefusal = {
  readonly reason: string;
  readonly returnInMs: number;
};

export type TurnEvents = {
  /** Whether its customer is over its rate, so that it is refused for that. */
  readonly isOverRate: () => boolean;
  /** Called before a request starts or waits; false if it is refused. */
  readonly admit: () => boolean;
  readonly onTurn: () => void;
  readonly onRefused: (refusal: TurnRefusal) => void;
};

/** What is known here of the room at upstreams, and this instance's part of it. */
export type Outlook = {
  readonly isUsable: boolean;
  readonly isOpen: boolean;
  readonly slots: number;
  readonly pace: Pace;
};

/** Ends a request: it is answered, or its caller has left. */
export type EndTurn = () => void;

export type RoomParts = {
  readonly view: FleetView;
  readonly log: EventLog;
  /** Counts an outcome. */
  readonly onOutcome: (outcome: TurnOutcome) => void;
  /** Runs a step a little later, once for all that asks for it meanwhile. */
  readonly runLater: (delayMs: number, step: () => void) => void;
  /** Draws a number in [0, 1). */
  readonly draw: () => number;
};
