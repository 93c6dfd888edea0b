/** A datagram as it arrived. */
export type Datagram = {
  readonly bytes: Buffer;
  /** Address of its sender. */
  readonly sender: string;
  readonly receivedMs: number;
};

type InboxParts = {
  /** Returns how long datagrams are held, in ms. */
  readonly getDelayMs: () => number;
  readonly isUrgent: (bytes: Buffer) => boolean;
  readonly handle: (datagram: Datagram) => void;
};

/**
 * Holds datagrams for a moment and hands them on together. Waking up for each one
 * costs more than handling it, where instances hear hundreds of peers.
 */
export class MessageInbox {
  readonly #parts: InboxParts;
  #held: readonly Datagram[] = [];
  #timer: NodeJS.Timeout | undefined;

  constructor(parts: InboxParts) {
    this.#parts = parts;
  }

  add(datagram: Datagram): void {
    const { getDelayMs, isUrgent, handle } = this.#parts;
    const delayMs = getDelayMs();
    if (delayMs <= 0 || isUrgent(datagram.bytes)) {
      handle(datagram);
      return;
    }
    this.#held = [...this.#held, datagram];
    this.#timer ??= setTimeout(() => this.#handOn(), delayMs);
  }

  /** Drops what is held. */
  stop(): void {
    clearTimeout(this.#timer);
    this.#held = [];
  }

  #handOn(): void {
    const held = this.#held;
    this.#held = [];
    this.#timer = undefined;
    held.forEach((datagram) => {
      this.#parts.handle(datagram);
    });
  }
}
