import { createSocket, type Socket } from "node:dgram";
import type {
  EventLog,
  FleetMember,
  LoadMessage,
  WorkMessage,
} from "@gooseberryline/core";
import { runStep } from "../steps/run_step.ts";
import { computeGossipIntervalMs } from "./compute_gossip_interval_ms.ts";
import { computeInboxDelayMs } from "./compute_inbox_delay_ms.ts";
import { FLEET } from "./constants.ts";
import type { FleetView } from "./fleet_view.ts";
import { loadCodec } from "./load_codec.ts";
import { type Datagram, MessageInbox } from "./message_inbox.ts";
import { workCodec } from "./work_codec.ts";

/** Exchanges load messages with peers over UDP; any message may be lost. */
export class PeerLink {
  readonly #view: FleetView;
  readonly #log: EventLog;
  readonly #socket: Socket;
  readonly #inbox: MessageInbox;
  #timer: NodeJS.Timeout | undefined;
  #workTimer: NodeJS.Timeout | undefined;
  /** Whether the next message is sent before its time. */
  #isEarly = false;
  /** Whether peers must handle the next message at once. */
  #isUrgent = false;
  #unreadableCount = 0;
  #hasFailedToSend = false;

  constructor(view: FleetView, log: EventLog) {
    this.#view = view;
    this.#log = log;
    view.onUpstreamOverloaded = () => this.#sendSoon();
    view.load.onNewSuspect = () => this.#sendSoon({ isUrgent: false });
    view.crashes.onUrgentNews = () => this.#sendSoon();
    view.quotas.onUrgentNews = () => this.#sendSoon();
    view.limits.onUrgentNews = () => this.#sendSoon();
    view.reach.onUrgentNews = () => this.#sendSoon();
    view.rollouts.onUrgentNews = () => this.#sendSoon();
    view.directory.onLeaving = (upstream) => {
      log.info("upstream-leaving", { upstream });
      this.#sendSoon();
    };
    this.#socket = createSocket("udp4");
    this.#inbox = new MessageInbox({
      getDelayMs: () => computeInboxDelayMs(view.members.count()),
      isUrgent: (bytes) => loadCodec.isUrgent(bytes),
      handle: (datagram) =>
        runStep(log, { step: "peer-message", key: datagram.sender }, () =>
          this.#handleDatagram(datagram),
        ),
    });
    this.#socket.on("message", (bytes, { address: sender }) =>
      this.#inbox.add({ bytes, sender, receivedMs: view.readNowMs() }),
    );
    this.#socket.on("error", (error) => {
      log.error("peer-socket", { reason: error.message });
    });
  }

  /** Rejects if the port can't be bound. */
  start(): Promise<void> {
    const { peerPort, host } = this.#view.settings;
    return new Promise((resolve, reject) => {
      this.#socket.once("error", reject);
      this.#socket.bind(peerPort, host, () => {
        this.#socket.off("error", reject);
        this.#sendLater();
        this.#sendWorkLater();
        resolve();
      });
    });
  }

  /** Notifies peers that this instance is leaving, then closes the socket. */
  stop(): void {
    clearTimeout(this.#timer);
    clearTimeout(this.#workTimer);
    this.#inbox.stop();
    this.#send({ isLeaving: true });
    this.#socket.close();
  }

  #handleDatagram({ bytes, sender, receivedMs }: Datagram): void {
    const work = workCodec.decode(bytes);
    if (work !== undefined) {
      this.#handleWork(work, receivedMs);
      return;
    }
    const message = loadCodec.decode(bytes);
    if (message !== undefined) {
      this.#recordSender(message, sender);
      const targets = this.#view.receiveMessage(message, sender, receivedMs);
      this.#sendTo(targets, bytes);
      return;
    }
    this.#unreadableCount += 1;
    if (this.#unreadableCount === 1) {
      this.#log.warn("peer-message-unreadable", { bytes: bytes.length });
    }
  }

  #handleWork(message: WorkMessage, receivedMs: number): void {
    if (this.#view.work.record(message, receivedMs)) {
      this.#view.onPeerLoad();
    }
  }

  /**
   * Adds an unknown sender to the members, with this instance's ports: all
   * instances use the same ones.
   */
  #recordSender(message: LoadMessage, sender: string): void {
    const { peerPort, relayPort } = this.#view.settings;
    const { address = sender } = message;
    const { from: id, incarnation, dataCentre, duty, isLeaving } = message;
    if (!isLeaving) {
      const ports = { port: peerPort, relayPort };
      const member = { id, incarnation, address, dataCentre, duty, ...ports };
      this.#view.members.addIfUnknown(member);
    }
  }

  /** Each message carries the full state, so the next replaces a lost one. */
  #sendTo(peers: readonly FleetMember[], bytes: Buffer): void {
    peers.forEach(({ id, address, port }) => {
      runStep(this.#log, { step: "send-to-peer", key: id }, () =>
        this.#socket.send(bytes, port, address, (error) =>
          this.#recordUnsent(error, bytes.length),
        ),
      );
    });
  }

  /** A message that can't be sent, as one that is too long, is said once. */
  #recordUnsent(error: Error | null, bytes: number): void {
    if (error !== null && !this.#hasFailedToSend) {
      this.#hasFailedToSend = true;
      const reason = `${error.message}, ${bytes} bytes`;
      this.#log.error("peer-socket", { reason });
    }
  }

  /**
   * Schedules an early message for changes that peers must learn before the
   * next interval, and at once if `isUrgent`.
   */
  #sendSoon({ isUrgent = true } = {}): void {
    this.#isUrgent ||= isUrgent;
    if (!this.#isEarly) {
      this.#isEarly = true;
      clearTimeout(this.#timer);
      this.#timer = setTimeout(
        () => this.#step(),
        FLEET.URGENT_GOSSIP_DELAY_MS,
      );
    }
  }

  #sendLater(): void {
    const delayMs = computeGossipIntervalMs(this.#view.members.list().length);
    this.#timer = setTimeout(() => this.#step(), delayMs);
  }

  #step(): void {
    const isUrgent = this.#isUrgent;
    this.#isEarly = false;
    this.#isUrgent = false;
    runStep(this.#log, { step: "peer-message" }, () =>
      this.#send({ isUrgent }),
    );
    this.#sendLater();
  }

  #sendWorkLater(): void {
    const { intervalMs = FLEET.MIN_GOSSIP_INTERVAL_MS } = this.#view.work;
    this.#workTimer = setTimeout(() => {
      runStep(this.#log, { step: "peer-message" }, () => this.#sendWork());
      this.#sendWorkLater();
    }, intervalMs);
  }

  #sendWork(): void {
    const { work } = this.#view;
    const message = work.build();
    if (message !== undefined) {
      this.#sendTo(work.listTargets(), workCodec.encode(message));
    }
  }

  #send({ isLeaving = false, isUrgent = false }): void {
    const message = this.#view.buildMessage(isLeaving);
    const bytes = loadCodec.encode(
      isUrgent ? { ...message, isUrgent } : message,
    );
    const targets = isLeaving
      ? this.#view.listPeers()
      : this.#view.listMessageTargets();
    this.#sendTo(targets, bytes);
  }
}
