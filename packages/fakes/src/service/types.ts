/** The stand-in for a plain service. */

/** One call as the service received it. */
export type ServiceCall = {
  readonly method: string;
  /** Path and query as they were sent. */
  readonly url: string;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
};

export type FakeService = {
  readonly url: string;
  readonly calls: readonly ServiceCall[];
  /** Status of the answers from now on; 200 at first. */
  readonly setStatus: (status: number) => void;
  readonly close: () => Promise<void>;
};
