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
}
