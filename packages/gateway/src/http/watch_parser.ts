import type { IncomingMessage } from "node:http";
import type { Socket } from "node:net";
import { dropHead } from "../intake/drop_head.ts";

/** The runtime's parser of a connection, as far as it is used here. */
type Parser = {
  /** Called for each head; a result above 2 makes the parser stop. */
  onIncoming: (req: IncomingMessage, ...parts: readonly unknown[]) => number;
};

const STOP_PARSING = 3;

/**
 * Asks before each request on a connection of a server whether it may be taken. The
 * runtime parses all that one read has brought before it does anything else, so a
 * connection that is only closed would go on making objects until then. Returns
 * false if this runtime has no such parser: then only the pause of reading bounds it.
 */
export function watchParser(
  socket: Socket,
  canTakeNext: () => boolean,
): boolean {
  const { parser } = socket as { readonly parser?: Partial<Parser> };
  const onIncoming = parser?.onIncoming;
  if (parser === undefined || typeof onIncoming !== "function") {
    return false;
  }
  parser.onIncoming = (req, ...parts) => {
    if (canTakeNext()) {
      return onIncoming(req, ...parts);
    }
    dropHead(req);
    return STOP_PARSING;
  };
  return true;
}
