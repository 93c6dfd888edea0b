/** Types of the fake plain HTTP service. */

/** A request as the service received it. */
export type ServiceCall = {
  readonly method: string;
  /** Path and query as sent by the client. */
  readonly url: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
};

export type FakeService = {
  readonly url: string;
  readonly calls: readonly ServiceCall[];
  /** Sets the HTTP status of subsequent answers; initially 200. */
  readonly setStatus: (status: number) => void;
  readonly close: () => Promise<void>;
};
