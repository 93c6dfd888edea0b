import { REQUEST_EVENTS } from "./request_events.ts";
import { ROLLOUT_EVENTS } from "./rollout_events.ts";

/**
 * Catalogue of the events that an instance logs, with their fields and meaning.
 * Each line also has `event`, `level`, `at` (ISO 8601) and `instance`. Lines
 * can be correlated by `requestId`, `jobId` and `itemId`.
 */
export const LOG_EVENTS = {
  ...REQUEST_EVENTS,
  ...ROLLOUT_EVENTS,
  "upstream-reach": {
    fields: ["isCutOff"],
    text: "This instance has lost its paths to all upstreams, or has one again",
  },
  "upstream-broke-off": {
    fields: [
      "requestId",
      "requestKey",
      "upstream",
      "promptParts",
      "hasHead",
      "hasBegun",
      "ranMs",
      "port",
      "reason",
    ],
    text: "A connection broke during a request; port says if the upstream is down",
  },
  "upstream-leaving": {
    fields: ["upstream"],
    text: "This upstream said in an answer, here or to a peer, that it is about to end; it gets no new work",
  },
  "upstream-looked-at": {
    fields: ["upstream", "port"],
    text: "A peer lost a connection to this upstream and found it down; port says what this instance found",
  },
  "upstream-verdict": {
    fields: ["upstream", "verdict", "downAt", "reachedAt"],
    text: "Whether an upstream crashed or was reached by other paths, and the instances that found it down or reached it",
  },
  "prompt-blocked": {
    fields: ["blockId", "promptParts", "customers", "upstreams", "source"],
    text: "Prompts with these parts are refused: these upstreams crashed under them; for all customers if there are two",
  },
  "request-blocked": {
    fields: ["blockId", "requestKey", "upstreams", "source"],
    text: "This request and its repeats are refused: these upstreams crashed under it",
  },
  "block-evidence": {
    fields: ["blockId", "crashAgesMs", "otherCrashes"],
    text: "Time since each crash that a new block rests on, and the other crashes known then",
  },
  "prompt-block-lifted": {
    fields: ["blockId", "reason"],
    text: "A block ended: an operator removed its record, its upstreams were reached after all, or its time was over",
  },
  "prompt-block-unreadable": {
    fields: ["blockId"],
    text: "A block's record can't be read; it is not applied",
  },
  "caller-connection-lost": {
    fields: ["reason"],
    text: "A caller's connection broke, or what came on it was malformed",
  },
  crowded: {
    fields: ["requests", "messages", "answers", "connections"],
    text: "What gave way in a second to stay inside the limits of memory and descriptors",
  },
  "job-accepted": {
    fields: ["jobId", "items", "tokens"],
    text: "The store has the whole job",
  },
  "job-not-accepted": {
    fields: ["jobId", "mayStand"],
    text: "The store did not confirm a job; it may stand all the same",
  },
  "job-over-limit": {
    fields: [
      "jobId",
      "customer",
      "tokens",
      "limit",
      "waiting",
      "ageMs",
      "retryAfterMs",
    ],
    text: "A job is refused: with the customer's unfinished items it is over the route's limit; no waiting if the job alone is",
  },
  "backlog-unreadable": {
    fields: ["key"],
    text: "An open job's token count could not be read and counts as 0",
  },
  "claim-unreadable": {
    fields: ["jobId"],
    text: "A claim can't be read; the last one known stands",
  },
  "results-read": {
    fields: ["jobId", "from", "count", "way"],
    text: "A caller got results of a job from a position on",
  },
  "result-unreadable": {
    fields: ["jobId", "position"],
    text: "A result's record can't be read; readers get none from there on",
  },
  "job-claimed": {
    fields: ["jobId", "from"],
    text: "A worker takes a job over from an owner that is gone",
  },
  "job-not-loaded": {
    fields: ["jobId", "isStill"],
    text: "A claimed job could not be read, or is another worker's by now",
  },
  "items-unreadable": {
    fields: ["jobId", "readable", "total"],
    text: "Items of a job can't be read by this worker, which runs the others",
  },
  "job-lost-to-another": {
    fields: ["jobId"],
    text: "A write failed since the claim is another worker's",
  },
  "job-ended-by-caller": { fields: ["jobId"], text: "The caller ended a job" },
  "job-removed": {
    fields: ["jobId"],
    text: "The records of an old job are gone",
  },
  "item-run-ended": {
    fields: [
      "jobId",
      "itemId",
      "upstream",
      "end",
      "reason",
      "status",
      "events",
      "ranMs",
      "step",
    ],
    text: "One run of an item at an upstream is over",
  },
  "item-errored": {
    fields: ["jobId", "itemId", "reason"],
    text: "An item is given up",
  },
  "results-listed": {
    fields: ["jobId", "listed", "total"],
    text: "The store has further results of a job",
  },
  "results-not-written": {
    fields: ["jobId", "reason"],
    text: "The store did not confirm results; they are written again",
  },
  "texts-not-saved": {
    fields: ["kind"],
    text: "Texts of unfinished items were not saved this time",
  },
  "config-adopted": {
    fields: ["revision", "routes", "access", "customers"],
    text: "A configuration is in force here; `access`: who may call",
  },
  "config-unreadable": {
    fields: ["revision", "reason"],
    text: "A configuration is passed over; the last one stands",
  },
  "operator-record-unknown": {
    fields: ["key"],
    text: "An operators' record of another kind is passed over",
  },
  "data-centre": {
    fields: ["dataCentre", "isOut"],
    text: "A data centre was taken out or brought back",
  },
  "upstream-listed": {
    fields: ["upstream", "dataCentre", "version", "isDraining", "coldMs"],
    text: "An upstream's entry is new or has changed",
  },
  "version-history": {
    fields: ["service", "versions"],
    text: "The versions of a service's upstreams that may have begun streams have changed",
  },
  "version-history-unreadable": {
    fields: ["service"],
    text: "The record of a service's versions can't be read; it is not used",
  },
  "stream-origins-unwritten": {
    fields: ["streams", "reason"],
    text: "It could not be written which versions began streams; it is tried again",
  },
  "upstream-limit": {
    fields: ["upstream", "perSecond", "source"],
    text: "An upstream names another limit on its requests; none if perSecond is missing",
  },
  "upstream-speed": {
    fields: ["upstream", "slowness"],
    text: "An upstream takes this multiple of the time that the others of its service take for like requests; 1 if it is as fast again",
  },
  "requests-leave": {
    fields: ["service", "to", "percent", "gainMs", "costMs"],
    text: "This part of a service's requests goes to another data centre: the wait that one saves, and has to save",
  },
  "upstream-removed": {
    fields: ["upstream"],
    text: "An upstream's entry is gone",
  },
  "upstream-unreadable": {
    fields: ["upstream", "reason"],
    text: "An upstream's entry can't be read; it is not used",
  },
  "member-listed": {
    fields: ["instance", "duty", "incarnation"],
    text: "An instance registered",
  },
  "member-unlisted": {
    fields: ["instance"],
    text: "An instance's registration is gone",
  },
  "member-unreadable": {
    fields: ["key"],
    text: "An instance's record can't be read",
  },
  "membership-registered": {
    fields: ["leaseId"],
    text: "This instance is registered under a lease",
  },
  "membership-lapsed": {
    fields: ["leaseId"],
    text: "The store ended this instance's lease; it registers again",
  },
  "watch-lost": {
    fields: ["prefix", "revision", "reason"],
    text: "The store does not answer a watch; the last state stands",
  },
  "watch-regained": {
    fields: ["prefix", "failures"],
    text: "The store answers a watch again",
  },
  "watch-behind": {
    fields: ["prefix", "own", "revision"],
    text: "A peer has seen a later change; it is asked for by another way as well",
  },
  "store-path": {
    fields: ["isDirect", "reason"],
    text: "Calls of the store go directly again, or by way of peers",
  },
  "watch-source": {
    fields: ["prefix", "peer"],
    text: "This instance follows a prefix at that peer, or at the store if peer is missing",
  },
  "store-calls": {
    fields: ["total", "calls"],
    text: "Calls of the store that this instance made since its start, by kind and records",
  },
  "watch-history-gone": {
    fields: ["prefix", "revision"],
    text: "The store has dropped the history; the records are read afresh",
  },
  "peer-socket": { fields: ["reason"], text: "The socket to peers failed" },
  "peer-message-unreadable": {
    fields: ["bytes"],
    text: "A datagram is of no instance of this version; said once",
  },
  started: {
    fields: ["incarnation", "duty"],
    text: "The process is up; it may not know its configuration yet",
  },
  ready: { fields: ["sinceStartMs"], text: "All records were read once" },
  stopping: { fields: ["open"], text: "A planned stop began" },
  stopped: { fields: ["tookMs"], text: "A planned stop is done" },
  retired: { fields: ["instance"], text: "This instance has no jobs left" },
  reload: {
    fields: ["changed", "atNextStart"],
    text: "The settings file has changed; some settings wait for a start",
  },
  "settings-invalid": {
    fields: ["path", "faults"],
    text: "The settings file is wrong; the process ends",
  },
  "start-failed": { fields: ["reason"], text: "A listener could not start" },
  "item-not-started": {
    fields: ["jobId", "itemId", "upstream", "reason"],
    text: "A fault of the program kept a run of an item from its start; the item waits on",
  },
  "step-failed": {
    fields: ["step", "key", "reason"],
    text: "A fault of the program ended one step of a task, which goes on; key names the record or upstream, if known",
  },
  uncaught: {
    fields: ["origin", "reason"],
    text: "A fault of the program that nothing caught; the process goes on; origin tells an exception from a rejected promise",
  },
  "log-dropped": {
    fields: ["lines"],
    text: "The log's reader was slow; so many lines are missing here",
  },
} as const satisfies Readonly<
  Record<string, { readonly fields: readonly string[]; readonly text: string }>
>;
