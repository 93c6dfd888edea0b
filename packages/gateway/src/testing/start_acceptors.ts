/** Starts instances that accept jobs at one fake metadata store, for tests. */
import { backlogKeys, type Route } from "@gooseberryline/core";
import { createMetadata } from "@gooseberryline/fakes";
import { batchRecords } from "../jobs/batch_records.ts";
import { JobAcceptor } from "../jobs/job_acceptor.ts";
import { JobCache } from "../jobs/job_cache.ts";
import type { CallError, CallReply } from "../requests/types.ts";
import { createView } from "./create_view.ts";
import { JOB_ROUTE } from "./job_route.ts";
import { SILENT_LOG } from "./silent_log.ts";

type AcceptorsOptions = { readonly count: number; readonly limit: number };

type Submitted = {
  readonly id: string;
  readonly instance?: number;
  readonly customer?: string;
  readonly itemTokens?: readonly number[];
  readonly configRevision?: number;
  readonly limit?: number;
};

/** What the caller of a submission got. */
export type SubmitAnswer = {
  readonly status: number;
  readonly fault?: CallError;
};

export function startAcceptors({ count, limit }: AcceptorsOptions) {
  const metadata = createMetadata();
  const { store } = metadata;
  const acceptors = Array.from({ length: count }, () => {
    const view = createView();
    const cache = new JobCache(store);
    const log = SILENT_LOG;
    const parts = { view, store, log, cache, onClaimsChange: () => undefined };
    return { view, acceptor: new JobAcceptor(parts) };
  });
  const submit = async (job: Submitted): Promise<SubmitAnswer> => {
    const { instance = 0, customer = "t1", itemTokens = [10] } = job;
    const route = { ...JOB_ROUTE, maxBacklogTokens: job.limit ?? limit };
    const found = acceptors[instance];
    if (found === undefined) {
      throw new Error(`there is no instance ${instance}`);
    }
    found.view.adoptConfig(buildConfig(route, job.configRevision ?? 1));
    const answers: SubmitAnswer[] = [];
    await found.acceptor.submit(
      job.id,
      route,
      { name: customer, keys: [], ratePerSecond: 0, burst: 0 },
      itemTokens.map((tokens, index) => ({
        id: `${job.id}-${index}`,
        path: "/b/x",
        headers: {},
        body: "",
        tokens,
      })),
      buildReply((answer) => answers.push(answer)),
    );
    const [answer, ...others] = answers;
    if (answer === undefined || others.length > 0) {
      throw new Error(`job ${job.id} got ${answers.length} answers`);
    }
    return answer;
  };
  const measure = async (customer = "t1"): Promise<number> => {
    const owner = { customer, host: JOB_ROUTE.host, prefix: JOB_ROUTE.prefix };
    const page = await store.listPage(backlogKeys.openJobs(owner));
    const items = page.kind === "page" ? page.items : [];
    return items
      .map(({ value }) => batchRecords.decodeJobBacklog(value)?.tokens ?? 0)
      .reduce((sum, tokens) => sum + tokens, 0);
  };
  return { metadata, submit, measure };
}

function buildConfig(route: Route, revision: number) {
  const limits = {
    headerBytes: 1,
    bodyBytes: 1,
    headerTimeoutMs: 1,
    idleTimeoutMs: 1,
  };
  return {
    revision,
    routes: [route],
    services: [],
    limits,
    access: { kind: "open" } as const,
  };
}

function buildReply(onAnswer: (answer: SubmitAnswer) => void): CallReply {
  const ignore = (): void => undefined;
  return {
    isConnected: () => true,
    sendError: (fault) => onAnswer({ status: fault.status, fault }),
    sendResponse: ({ status }) => onAnswer({ status }),
    onWritten: (callback) => callback(),
    startStream: ignore,
    writeStream: () => true,
    finishStream: ignore,
    closeConnection: ignore,
  };
}
