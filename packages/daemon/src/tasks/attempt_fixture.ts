import { createServer, type Server, type Socket } from "node:net";
import type {
  AttemptId,
  AttemptOutcome,
  InstanceEvent,
  WorkId,
} from "@gooseberryline/core";
import { AttemptTask } from "./attempt_task.ts";
import type { AttemptCall, AttemptOrder } from "./types.ts";

/** An upstream that answers each request head with raw bytes. */
type RawUpstream = { readonly url: string; readonly sockets: Socket[] };

/** An attempt and what its sink was given. */
type StartedAttempt = {
  readonly attemptId: AttemptId;
  readonly taken: { head: number; text: string };
};

/** For tests: a task for attempts, and upstreams that misbehave. */
export class AttemptFixture {
  readonly events: InstanceEvent[] = [];
  readonly task = new AttemptTask((event) => this.#note(event));
  /** Whether sinks take more at once. */
  hasRoom = true;
  readonly #servers: Server[] = [];
  readonly #sockets: Socket[] = [];
  readonly #waiters = new Map<string, (outcome: AttemptOutcome) => void>();
  #count = 0;

  async startRaw(
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
    const taken = { head: 0, text: "" };
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
      sink: this.#createSink(taken),
    });
    return { attemptId, taken };
  }

  /** Resolves with the outcome of an attempt once it has ended. */
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

  #createSink(taken: StartedAttempt["taken"]): AttemptOrder["sink"] {
    return {
      writeHead: ({ status }) => {
        taken.head = status;
      },
      write: (chunk) => {
        taken.text += chunk.toString();
        return this.hasRoom;
      },
      waitForRoom: () => new Promise(() => undefined),
    };
  }

  #note(event: InstanceEvent): void {
    this.events.push(event);
    if (event.kind === "attempt-ended") {
      this.#waiters.get(event.attemptId)?.(event.outcome);
    }
  }
}
