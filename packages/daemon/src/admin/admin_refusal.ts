import type { ConfigFault } from "@gooseberryline/core";

/** A refusal of the administration interface. */
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

  /** Refuses a document with every fault and its place. */
  static invalidConfig(faults: readonly ConfigFault[]): AdminRefusal {
    const message = `${faults.length} faults in the configuration`;
    return new AdminRefusal(400, "invalid_config", message, { faults });
  }

  /** Tells that a write was not answered, so that it may have been made. */
  static unknownWrite(): AdminRefusal {
    return new AdminRefusal(
      503,
      "store_unavailable",
      "the store did not answer; the change may have been made",
      { run: "may have run" },
    );
  }
}
