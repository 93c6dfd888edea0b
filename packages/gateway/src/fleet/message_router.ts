import {
  type FleetMember,
  type LoadMessage,
  listMessageTargets,
  listRelayTargets,
} from "@gooseberryline/core";
import type { GatewaySettings } from "../settings/types.ts";
import type { LoadTracker } from "./load_tracker.ts";
import type { MemberRegistry } from "./member_registry.ts";

type MessageRouterParts = {
  readonly settings: GatewaySettings;
  readonly members: MemberRegistry;
  readonly load: LoadTracker;
  readonly listPeers: () => readonly FleetMember[];
  /** Returns the silence after which a peer counts as unreachable, in ms. */
  readonly getPeerTimeoutMs: () => number;
  readonly readNowMs: () => number;
};

/** How a load message came to this instance. */
type MessagePath = {
  /** Whether its sender sent it here itself. */
  readonly isFromPeer: boolean;
  /** Whether its sender is in another data centre. */
  readonly isFromAfar: boolean;
  /** Whether it shows that its sender is reached. */
  readonly isDirect: boolean;
};

/** Decides to which peers load messages go, own ones and those passed on. */
export class MessageRouter {
  readonly #parts: MessageRouterParts;

  constructor(parts: MessageRouterParts) {
    this.#parts = parts;
  }

  /** Lists the peers that this instance's message of a round is sent to. */
  listTargets(round: number): readonly FleetMember[] {
    const { settings, load, listPeers, getPeerTimeoutMs } = this.#parts;
    const { instanceId: id, dataCentre } = settings;
    const nowMs = this.#parts.readNowMs();
    const timeoutMs = getPeerTimeoutMs();
    return listMessageTargets(
      { id, dataCentre },
      listPeers(),
      (peerId) => load.hasDirectContact(peerId, timeoutMs, nowMs),
      round,
    );
  }

  /** Finds out how a message came that arrived from the address `sender`. */
  locateSender(message: LoadMessage, sender: string): MessagePath {
    const { members, settings } = this.#parts;
    const { dataCentre } = settings;
    const isFromPeer = members.hasAddress(message.from, sender);
    const isFromAfar = message.dataCentre !== dataCentre;
    const isDirect =
      isFromPeer ||
      (isFromAfar && members.getDataCentre(sender) === dataCentre);
    return { isFromPeer, isFromAfar, isDirect };
  }

  /**
   * Lists the peers to which this instance passes a message on. One from another
   * data centre goes to all of this one, as its sender sent it here only.
   */
  listRecipients(
    { from }: LoadMessage,
    { isFromPeer, isFromAfar, isDirect }: MessagePath,
  ): readonly FleetMember[] {
    return [
      ...(isFromPeer && isFromAfar ? this.listNearPeers() : []),
      ...(isDirect ? this.#listRelayTargets(from) : []),
    ];
  }

  /** Lists the peers of this instance's data centre. */
  listNearPeers(): readonly FleetMember[] {
    const { dataCentre } = this.#parts.settings;
    return this.#parts
      .listPeers()
      .filter((peer) => peer.dataCentre === dataCentre);
  }

  /** Lists the peers to which this instance relays messages of `origin`. */
  #listRelayTargets(origin: string): readonly FleetMember[] {
    const { settings, load, listPeers, getPeerTimeoutMs, readNowMs } =
      this.#parts;
    if (!load.unheard.has(origin)) {
      return [];
    }
    const unreachedByPeer = load.listUnreachedByPeer(
      getPeerTimeoutMs(),
      readNowMs(),
    );
    const { instanceId } = settings;
    const ids = listRelayTargets(origin, instanceId, unreachedByPeer);
    return listPeers().filter(({ id }) => ids.includes(id));
  }
}
