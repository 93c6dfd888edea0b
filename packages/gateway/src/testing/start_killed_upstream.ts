import { spawn } from "node:child_process";
import { once } from "node:events";

/** Writes an answer to its first request, and kills its own process. */
const PROGRAM = `
  const { createServer } = require("node:net");
  const server = createServer((socket) => {
    socket.once("data", () => {
      const kill = () => process.kill(process.pid, "SIGKILL");
      socket.write(process.env.ANSWER, () => setTimeout(kill, 10));
    });
  });
  server.listen(0, "127.0.0.1", () => console.log(server.address().port));
`;

/** Starts an upstream in a process of its own, and returns its address. */
export async function startKilledUpstream(answer: string): Promise<string> {
  const child = spawn(process.execPath, ["-e", PROGRAM], {
    env: { ANSWER: answer },
    stdio: ["ignore", "pipe", "ignore"],
  });
  const [port] = await once(child.stdout, "data");
  return `127.0.0.1:${String(port).trim()}`;
}
