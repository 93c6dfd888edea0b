import type {
  FleetMember,
  LoadMessage,
  WorkMessage,
} from "@gooseberryline/core";
import {
  computeGossipIntervalMs,
  type FleetView,
} from "@gooseberryline/gateway";
import type { VirtualFleet } from "./virtual_fleet.ts";

const URGENT_DELAY_MS = 5;
const WAY_MS = 1;
const MIN_INTERVAL_MS = 100;

/** Sends an instance's load messages as its link does. */
export class VirtualLink {
  readonly #fleet: VirtualFleet;
  readonly #view: FleetView;
  readonly #links: ReadonlyMap<string, VirtualLink>;
  #round = 0;
  #isUrgent = false;

  constructor(
    fleet: VirtualFleet,
    view: FleetView,
    links: ReadonlyMap<string, VirtualLink>,
  ) {
    this.#fleet = fleet;
    this.#view = view;
    this.#links = links;
    view.onUpstreamOverloaded = () => this.#sendSoon();
    view.load.onNewSuspect = () => this.#sendSoon();
  }

  start(): void {
    const intervalMs = computeGossipIntervalMs(this.#links.size);
    this.#sendIn(this.#fleet.draw() * intervalMs);
    this.#sendWorkLater(this.#fleet.draw());
  }

  /** `share` is the part of the interval after which the first one is sent. */
  #sendWorkLater(share: number): void {
    const { intervalMs = MIN_INTERVAL_MS } = this.#view.work;
    this.#fleet.clock.startTimer(intervalMs * share, () => {
      this.#sendWork();
      this.#sendWorkLater(1);
    });
  }

  #sendWork(): void {
    const { work } = this.#view;
    const message = work.build();
    if (message !== undefined) {
      work.listTargets().forEach(({ id }) => {
        this.#fleet.clock.startTimer(WAY_MS, () => {
          this.#links.get(id)?.receiveWork(message);
        });
      });
    }
  }

  receiveWork(message: WorkMessage): void {
    this.#fleet.counts.messages += 1;
    if (this.#view.work.record(message, this.#view.readNowMs())) {
      this.#view.onPeerLoad();
    }
  }

  #sendSoon(): void {
    if (!this.#isUrgent) {
      this.#isUrgent = true;
      this.#sendIn(URGENT_DELAY_MS);
    }
  }

  #sendIn(delayMs: number): void {
    this.#round += 1;
    const round = this.#round;
    this.#fleet.clock.startTimer(delayMs, () => {
      if (round === this.#round) {
        this.#isUrgent = false;
        this.#send();
        this.#sendIn(computeGossipIntervalMs(this.#links.size));
      }
    });
  }

  #send(): void {
    const message = this.#view.buildMessage(false);
    const copy = { ...message, open: { ...message.open } };
    const { host } = this.#view.settings;
    this.#sendTo(this.#view.listMessageTargets(), copy, host);
  }

  #sendTo(
    targets: readonly FleetMember[],
    message: LoadMessage,
    sender: string,
  ): void {
    targets.forEach(({ id }) => {
      this.#fleet.clock.startTimer(WAY_MS, () => {
        this.#links.get(id)?.receive(message, sender);
      });
    });
  }

  receive(message: LoadMessage, sender: string): void {
    this.#fleet.counts.messages += 1;
    const recipients = this.#view.receiveMessage(message, sender);
    this.#sendTo(recipients, message, this.#view.settings.host);
  }
}
