import { connect } from "node:net";
import { EXCHANGE } from "./constants.ts";

/** Whether something listens at an address: `unknown` without an answer. */
export type PortState = "open" | "refused" | "unknown";

/**
 * Opens a connection to an `IP:port` address and closes it at once. Tells an
 * upstream that is down from one that has only lost a connection.
 */
export function checkPort(address: string): Promise<PortState> {
  const { hostname: host, port } = new URL(`http://${address}`);
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port) });
    const settle = (state: PortState): void => {
      socket.destroy();
      resolve(state);
    };
    socket.setTimeout(EXCHANGE.CONNECT_TIMEOUT_MS, () => settle("unknown"));
    socket.once("connect", () => settle("open"));
    socket.once("error", (error: NodeJS.ErrnoException) =>
      settle(error.code === "ECONNREFUSED" ? "refused" : "unknown"),
    );
  });
}
