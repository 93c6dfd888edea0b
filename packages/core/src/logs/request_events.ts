/** Fields of every log line about a request. */
const REQUEST_FIELDS = [
  "requestId",
  "resumes",
  "lastEventId",
  "route",
  "customer",
  "upstreams",
  "passedTo",
  "runs",
  "waitMs",
  "firstMs",
  "revision",
] as const;

/** The events about requests of callers, with their fields and meaning. */
export const REQUEST_EVENTS = {
  "request-ended": {
    fields: [
      ...REQUEST_FIELDS,
      "outcome",
      "status",
      "reason",
      "events",
      "isCloseDelimited",
      "tookMs",
    ],
    text: "A request is over: where it went, what was expected, how it ended; whether the upstream's answer ended with its connection alone",
  },
  "request-turn": {
    fields: [
      "outcome",
      "requestId",
      "customer",
      "service",
      "reason",
      "tokens",
      "isReturned",
      "waitedMs",
      "expectedMs",
      "returnInMs",
      "waiting",
      "inFlight",
      "share",
      "slots",
      "meanServiceMs",
      "omitted",
    ],
    text: "A request that waited here started, was given up or left, or one was refused as there is no room: what it was decided by",
  },
  "request-refused": {
    fields: [
      "requestId",
      "host",
      "status",
      "code",
      "reason",
      "revision",
      "configAgeMs",
      "storeAgeMs",
      "peerRevision",
      "omitted",
    ],
    text: "A request got a 3xx or 4xx of this instance: why, and how old what it knew was",
  },
  "request-retry": {
    fields: [...REQUEST_FIELDS, "end", "reason", "events"],
    text: "An attempt failed and the request goes to another upstream",
  },
  "request-passed-on": {
    fields: [...REQUEST_FIELDS, "peer"],
    text: "No upstream is reached from here, and the request goes to this peer",
  },
} as const;
