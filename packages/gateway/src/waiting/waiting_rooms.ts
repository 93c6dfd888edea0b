import type { DemandNews } from "@gooseberryline/core";
import { ROOMS } from "./constants.ts";
import { ServiceRoom } from "./service_room.ts";
import { TurnLog } from "./turn_log.ts";
import type { ComingRequest, EndTurn, RoomParts, TurnEvents } from "./types.ts";

/** The rooms of an instance where requests wait, one for each service. */
export class WaitingRooms {
  readonly #parts: RoomParts;
  readonly #log: TurnLog;
  readonly #rooms = new Map<string, ServiceRoom>();
  #isLookDue = false;
  #isWatching = false;

  constructor(parts: RoomParts) {
    this.#parts = parts;
    this.#log = new TurnLog(parts);
    parts.view.demand.readOwn = () => this.#readDemand();
  }

  /** Requests that wait. */
  get count(): number {
    return this.#list().reduce((sum, { count }) => sum + count, 0);
  }

  /** Bytes of their bodies. */
  get bytes(): number {
    return this.#list().reduce((sum, { bytes }) => sum + bytes, 0);
  }

  /** Starts a request for a service, lets it wait, or refuses it. */
  enter(service: string, coming: ComingRequest, events: TurnEvents): EndTurn {
    const end = this.#find(service).enter(coming, events);
    this.#watch();
    return () => {
      end();
      this.#look();
    };
  }

  /** Looks soon at what waits, as news has come. */
  lookSoon(): void {
    this.#lookIn(ROOMS.NEWS_DELAY_MS);
  }

  #lookIn(delayMs: number): void {
    if (!this.#isLookDue && this.count > 0) {
      this.#isLookDue = true;
      this.#parts.runLater(delayMs, () => {
        this.#isLookDue = false;
        this.#look();
      });
    }
  }

  #look(): void {
    this.#list().forEach((room) => {
      room.look();
    });
  }

  /** Looks now and then while requests wait, also if nothing happens. */
  #watch(): void {
    if (!this.#isWatching && this.count > 0) {
      this.#isWatching = true;
      this.#parts.runLater(ROOMS.LOOK_INTERVAL_MS, () => {
        this.#isWatching = false;
        this.#look();
        this.#watch();
      });
    }
  }

  #find(service: string): ServiceRoom {
    const known = this.#rooms.get(service);
    if (known !== undefined) {
      return known;
    }
    const room = new ServiceRoom(service, this.#parts, this.#log);
    this.#rooms.set(service, room);
    return room;
  }

  #list(): readonly ServiceRoom[] {
    return [...this.#rooms.values()];
  }

  #readDemand(): DemandNews {
    const told = [...this.#rooms]
      .map(([service, { demand }]) => [service, demand] as const)
      .filter(([, demand]) => demand.size > 0)
      .map(([service, demand]) => [service, Object.fromEntries(demand)]);
    return Object.fromEntries(told);
  }
}
