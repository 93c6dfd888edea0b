import { randomUUID } from "node:crypto";
import {
  choosePassingPeer,
  DUTIES,
  type FleetMember,
  type PassingPeer,
} from "@gooseberryline/core";
import { isHeard } from "../fleet/is_heard.ts";
import type { AttemptParts } from "../requests/attempt.ts";
import type { AdmittedCall } from "../requests/types.ts";
import type { PassWork } from "./build_pass_options.ts";
import { PASSING } from "./constants.ts";
import { PassAttempt, type PassEvents } from "./pass_attempt.ts";

/** Passes requests on to peers while this instance reaches no upstreams. */
export class RequestPasser {
  readonly #parts: AttemptParts;
  /** Requests that have been passed on and are in flight, by peer. */
  readonly #open = new Map<string, number>();
  readonly #avoidedUntilMs = new Map<string, number>();

  constructor(parts: AttemptParts) {
    this.#parts = parts;
  }

  /** Whether this instance is cut off from all upstreams. */
  get isNeeded(): boolean {
    return this.#parts.view.reach.isCutOff;
  }

  /** Chooses a peer that takes requests; `tried` are ids of peers. */
  choose(tried: ReadonlySet<string>): FleetMember | undefined {
    if (tried.size >= PASSING.MAX_PASSES) {
      return undefined;
    }
    const { view } = this.#parts;
    const members = view
      .listPeers()
      .filter(({ duty }) => duty === DUTIES.serve);
    const chosen = choosePassingPeer({
      peers: members.map((member) => this.#describePeer(member)),
      tried,
      ownDataCentre: view.settings.dataCentre,
      nowMs: view.readNowMs(),
      random: Math.random(),
    });
    return members.find(({ id }) => id === chosen?.id);
  }

  /** Passes a request on to a peer. */
  start(
    call: AdmittedCall,
    work: Omit<PassWork, "passId">,
    events: Omit<PassEvents, "onUnable" | "onReleased">,
  ): PassAttempt {
    const { id } = work.peer;
    this.#changeOpen(id, 1);
    return new PassAttempt(
      call,
      { ...work, passId: randomUUID() },
      this.#parts,
      {
        ...events,
        onUnable: () => this.#avoid(id),
        onReleased: () => this.#changeOpen(id, -1),
      },
    );
  }

  #describePeer({ id, dataCentre }: FleetMember): PassingPeer {
    const { view } = this.#parts;
    const message = view.load.getPeerMessage(id);
    const told = Object.values(message?.open ?? {}).map(({ online }) => online);
    const passed = this.#open.get(id) ?? 0;
    return {
      id,
      dataCentre,
      isTaking: isHeard(view, id) && message?.isTaking === true,
      open: told.reduce((sum, online) => sum + online, passed),
      avoidedUntilMs: this.#avoidedUntilMs.get(id) ?? 0,
    };
  }

  #avoid(peerId: string): void {
    const nowMs = this.#parts.view.readNowMs();
    this.#avoidedUntilMs.set(peerId, nowMs + PASSING.AVOID_MS);
  }

  #changeOpen(peerId: string, delta: number): void {
    const open = (this.#open.get(peerId) ?? 0) + delta;
    if (open > 0) {
      this.#open.set(peerId, open);
    } else {
      this.#open.delete(peerId);
    }
  }
}
