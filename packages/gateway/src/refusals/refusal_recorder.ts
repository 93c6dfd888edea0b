import type { EventLog } from "@gooseberryline/core";
import type { FleetView } from "../fleet/fleet_view.ts";
import type { CallError } from "../requests/types.ts";
import type { ConfigFreshness } from "./config_freshness.ts";
import { REFUSALS } from "./constants.ts";
import { LineBudget } from "./line_budget.ts";

type RecorderParts = {
  readonly view: FleetView;
  readonly log: EventLog;
  readonly freshness: ConfigFreshness;
  /** Counts an error of the gateway itself. */
  readonly onRefused: (status: number, code: string) => void;
};

/** What is known of the request that is refused. */
type RefusedCall = {
  readonly requestId: string | undefined;
  readonly host: string | undefined;
};

const FIRST_FINAL = 300;
const FIRST_SERVER_ERROR = 500;

/**
 * Counts the errors that the gateway itself returns, and logs those that tell a
 * caller to give up, with what was known of the configuration.
 */
export class RefusalRecorder {
  readonly #parts: RecorderParts;
  readonly #budget = new LineBudget();

  constructor(parts: RecorderParts) {
    this.#parts = parts;
  }

  record({ status, code, message }: CallError, call: RefusedCall): void {
    const { view, log, freshness, onRefused } = this.#parts;
    onRefused(status, code);
    if (status < FIRST_FINAL || status >= FIRST_SERVER_ERROR) {
      return;
    }
    const omitted = this.#budget.take(code, view.readNowMs());
    if (omitted === undefined) {
      return;
    }
    log.info("request-refused", {
      requestId: call.requestId,
      host: call.host?.slice(0, REFUSALS.MAX_HOST_LENGTH),
      status,
      code,
      reason: message,
      revision: view.table?.config.revision,
      ...freshness.describe(),
      omitted,
    });
  }
}
