import type { ConfigFault } from "@gooseberryline/core";

/** Error response of the admin API. */
export class AdminRefusal extends Error {
  readonly status: number;
  readonly body: Readonly<Record<string, unknown>>;

  constructor(
    status: number,
    code: string,
    message: string,
    details: Readonly<Record<string, unknown>> = {},
  ) {
    super(message);
    this.status = status;
    this.body = { error: { code, message, ...details } };
  }

  /**
   * Creates a refusal that lists every fault of a configuration and its path.
   */
  static createInvalidConfig(faults: readonly ConfigFault[]): AdminRefusal {
    const message = `${faults.length} faults in the configuration`;
    return new AdminRefusal(400, "invalid_config", message, { faults });
  }

  /** Creates a refusal for a write without a response, which may have run. */
  static createUnknownWrite(): AdminRefusal {
    return new AdminRefusal(
      503,
      "store_unavailable",
      "the store did not answer; the change may have been made",
      { run: "may have run" },
    );
  }
}
