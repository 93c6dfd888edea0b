import { Agent, type IncomingMessage, request } from "node:http";

/** How a request of {@link sendAtOnce} ended. */
type SendEnd = {
  readonly path: string;
  /** Its status, or its error. */
  readonly end: number | string;
  readonly isKept: boolean;
};

/**
 * Sends requests that may not be repeated, each at once after the last answer, on a
 * connection that is kept as long as the answers allow it. The sending ends when a
 * new connection would be needed and `mayConnect` says no.
 */
export async function sendAtOnce(
  port: number,
  paths: readonly string[],
  mayConnect: () => boolean,
): Promise<readonly SendEnd[]> {
  const agent = new Agent({ keepAlive: true, maxSockets: 1 });
  const ends: SendEnd[] = [];
  const sendNext = async (turn: number): Promise<void> => {
    const path = paths[turn % paths.length] ?? "/";
    const end = await sendOne(agent, port, path);
    ends.push(end);
    if (end.isKept || mayConnect()) {
      await sendNext(turn + 1);
    }
  };
  await sendNext(0);
  agent.destroy();
  return ends;
}

function sendOne(agent: Agent, port: number, path: string): Promise<SendEnd> {
  return new Promise((resolve) => {
    const settle = (error: Error): void =>
      resolve({ path, end: error.message, isKept: false });
    const answer = (res: IncomingMessage): void => {
      const { statusCode: end = 0, headers } = res;
      const isKept = headers.connection !== "close";
      res.on("error", settle);
      res.resume().on("end", () => resolve({ path, end, isKept }));
    };
    const options = { agent, port, path, method: "POST" };
    request({ ...options, headers: { host: "h" } }, answer)
      .on("error", settle)
      .end();
  });
}
