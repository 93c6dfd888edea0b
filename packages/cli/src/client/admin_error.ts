/** An error of a command, such as an error answer of the administration API. */
export class AdminError extends Error {
  readonly exitCode: number;
  readonly details: Readonly<Record<string, unknown>>;

  constructor(
    message: string,
    exitCode: number,
    details: Readonly<Record<string, unknown>> = {},
  ) {
    super(message);
    this.exitCode = exitCode;
    this.details = details;
  }
}
