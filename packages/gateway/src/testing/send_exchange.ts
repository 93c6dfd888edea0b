import type { ConnectionPool } from "@gooseberryline/daemon";
import type { CallDialect } from "../dialect/types.ts";
import type { LastConnection } from "../exchange/last_connection.ts";
import type { ExchangeEnd } from "../exchange/types.ts";
import { UpstreamExchange } from "../exchange/upstream_exchange.ts";
import { plainDialect } from "./plain_dialect.ts";

type ExchangeParts = {
  readonly requestId: string;
  readonly dialect?: CallDialect;
  readonly lastConnection?: LastConnection;
};

/** Sends one request by a pool's connections; returns how it ended. */
export function sendExchange(
  address: string,
  pool: ConnectionPool,
  { requestId, dialect = plainDialect, lastConnection }: ExchangeParts,
): Promise<ExchangeEnd> {
  return new Promise((resolve) => {
    const options = {
      address,
      method: "POST",
      path: "/x",
      buildHeaders: () => ({}),
      body: Buffer.from("prompt"),
      requestId,
      lastConnection,
      isIdempotent: true,
      headTimeoutMs: 1_000,
      stallTimeoutMs: 1_000,
    };
    new UpstreamExchange(options, {
      pool,
      dialect,
      onHead: () => undefined,
      onChunk: () => true,
      onEnd: resolve,
    });
  });
}
