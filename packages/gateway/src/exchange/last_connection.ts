import type { Duplex } from "node:stream";

/**
 * The connection that answered the last run of a request. The next run avoids it,
 * since the same answer there may not be heard.
 */
export class LastConnection {
  #connection: Duplex | undefined;

  set(connection: Duplex): void {
    this.#connection = connection;
  }

  is(connection: Duplex): boolean {
    return connection === this.#connection;
  }
}
