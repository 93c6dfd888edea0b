import type { LoadMessage } from "@gooseberryline/core";

/** What is known of a peer by its load messages. */
export type PeerState = {
  readonly message: LoadMessage;
  readonly receivedMs: number;
  /**
   * When a message last arrived from the peer itself rather than through a
   * relay.
   */
  readonly lastDirectMs: number;
  /** Instances that the peer reports to receive nothing from. */
  readonly unheard: ReadonlySet<string>;
};
