import type { FleetMember, WorkMessage } from "@gooseberryline/core";
import type { GatewaySettings } from "../settings/types.ts";
import { computeWorkIntervalMs } from "./compute_work_interval_ms.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { MemberRegistry } from "./member_registry.ts";

type WorkNewsParts = {
  readonly settings: GatewaySettings;
  readonly incarnation: string;
  readonly members: MemberRegistry;
  readonly load: LoadTracker;
  readonly listNearPeers: () => readonly FleetMember[];
  /** Numbers this instance's next message. */
  readonly takeSequence: () => number;
};

/**
 * What instances of a data centre tell each other between load messages: those of
 * a large fleet are older than the requests that they tell of.
 */
export class WorkNews {
  readonly #parts: WorkNewsParts;
  /** The work in flight that peers were last told of. */
  #told = "";

  constructor(parts: WorkNewsParts) {
    this.#parts = parts;
  }

  /** Interval between messages, in ms; undefined where load messages suffice. */
  get intervalMs(): number | undefined {
    const { settings, members } = this.#parts;
    const near = members.countIn(settings.dataCentre);
    return computeWorkIntervalMs(near, members.count());
  }

  /** Builds a message if one is due; undefined if nothing has changed. */
  build(): WorkMessage | undefined {
    if (this.intervalMs === undefined) {
      return undefined;
    }
    const open = this.#parts.load.listOwnInFlight();
    const told = JSON.stringify(open);
    if (told === this.#told) {
      return undefined;
    }
    this.#told = told;
    const { settings, incarnation, takeSequence } = this.#parts;
    const from = settings.instanceId;
    return { kind: "work", from, incarnation, sequence: takeSequence(), open };
  }

  listTargets(): readonly FleetMember[] {
    return this.#parts.listNearPeers();
  }

  /** Records a peer's message; returns false if it is no news. */
  record(message: WorkMessage, receivedMs: number): boolean {
    return this.#parts.load.recordPeerWork(message, receivedMs);
  }
}
