import { createServer, type Server, type Socket } from "node:net";
import type {
  AttemptId,
  AttemptOutcome,
  InstanceEvent,
  WorkId,
} from "@gooseberryline/core";
import { AttemptTask } from "./attempt_task.ts";
import type { AttemptCall, AttemptOrder } from "./types.ts";

/** A TCP server that answers each request with raw bytes. */
type RawUpstream = { readonly url: string; readonly sockets: Socket[] };

/** An attempt and the output its sink received. */
type StartedAttempt = {
  readonly attemptId: AttemptId;
  readonly taken: { head: number; text: string };
};

/** Test fixture with an attempt task and misbehaving upstreams. */
export class AttemptFixture {
  readonly events: InstanceEvent[] = [];
  readonly task = new AttemptTask((event) => this.#recordEvent(event));
  /** Whether sinks can accept more data without waiting. */
  isWritable = true;
  readonly #servers: Server[] = [];
  readonly #sockets: Socket[] = [];
  readonly #waiters = new Map<string, (outcome: AttemptOutcome) => void>();
  #count = 0;

  async startRawUpstream(
    reply: (socket: Socket, head: string) => void,
  ): Promise<RawUpstream> {
    const sockets: Socket[] = [];
    const server = createServer((socket) => {
      sockets.push(socket);
      this.#sockets.push(socket);
      socket.on("error", () => undefined);
      socket.on("data", (data) => reply(socket, data.toString()));
    });
    this.#servers.push(server);
    await new Promise<void>((resolve) => {
      server.listen(0, "127.0.0.1", resolve);
    });
    const { port } = server.address() as { port: number };
    return { url: `http://127.0.0.1:${port}`, sockets };
  }

  start(upstreamUrl: string, call: Partial<AttemptCall> = {}): StartedAttempt {
    this.#count += 1;
    const attemptId = `a-${this.#count}` as AttemptId;
    const received = { head: 0, text: "" };
    this.task.start({
      attemptId,
      workId: "w" as WorkId,
      upstreamUrl,
      upstreamId: "engine",
      call: {
        method: "POST",
        path: "/x",
        headers: {},
        body: Buffer.from("{}"),
        isStream: false,
        ...call,
      },
      sink: this.#createSink(received),
    });
    return { attemptId, taken: received };
  }

  /** Waits until an attempt has ended and resolves with its outcome. */
  end(attemptId: AttemptId): Promise<AttemptOutcome> {
    const ended = this.events
      .filter((event) => event.kind === "attempt-ended")
      .find((event) => event.attemptId === attemptId);
    return new Promise((resolve) => {
      if (ended === undefined) {
        this.#waiters.set(attemptId, resolve);
      } else {
        resolve(ended.outcome);
      }
    });
  }

  close(): void {
    this.task.stop();
    this.closeUpstreams();
  }

  closeUpstreams(): void {
    this.#sockets.forEach((socket) => {
      socket.destroy();
    });
    this.#servers.forEach((server) => {
      server.close();
    });
  }

  #createSink(received: StartedAttempt["taken"]): AttemptOrder["sink"] {
    return {
      writeHead: ({ status }) => {
        received.head = status;
      },
      write: (chunk) => {
        received.text += chunk.toString();
        return this.isWritable;
      },
      waitForDrain: () => new Promise(() => undefined),
    };
  }

  #recordEvent(event: InstanceEvent): void {
    this.events.push(event);
    if (event.kind === "attempt-ended") {
      this.#waiters.get(event.attemptId)?.(event.outcome);
    }
  }
}
