import type { IncomingMessage } from "node:http";
import {
  assertNever,
  CALL_SHAPES,
  chooseService,
  type RouteTable,
} from "@gooseberryline/core";
import { RequestKey } from "../crashes/request_key.ts";
import type { BodyRead } from "../intake/body_intake.ts";
import { admitCustomer } from "../requests/admit_customer.ts";
import { callErrors } from "../requests/call_errors.ts";
import { checkCurrentCall } from "../requests/check_current_call.ts";
import { computeTimeLimitMs } from "../requests/compute_time_limit_ms.ts";
import { REQUESTS } from "../requests/constants.ts";
import { RequestRun } from "../requests/request_run.ts";
import type { CallError, CallReply } from "../requests/types.ts";
import type { CallParts } from "./types.ts";

/** A call whose turn has come on its connection. */
type ArrivedCall = {
  readonly req: IncomingMessage;
  readonly headerBytes: number;
  readonly receivedMs: number;
  readonly reply: CallReply;
  /** Whether more of the body is to come. */
  readonly isBodyOpen: () => boolean;
  readonly readBody: () => Promise<BodyRead>;
  /** The configuration whose limit the body was read by. */
  readonly arrivalTable: RouteTable | undefined;
  /** Whether a call that may take so long, in ms, comes too late in a stop. */
  readonly isTooLate: (limitMs: number) => boolean;
  readonly onRun: (run: RequestRun) => void;
};

/** Checks a call, reads its body, and runs it or accepts its job. */
export async function serveCall(
  parts: CallParts,
  call: ArrivedCall,
): Promise<void> {
  const { view, dialect, jobs, onDone } = parts;
  const { req, headerBytes, receivedMs, reply, isTooLate, onRun } = call;
  const { table } = view;
  if (isTooLate(0)) {
    reply.sendError(callErrors.notReady(REQUESTS.STOPPING));
    return;
  }
  if (req.headers.host === undefined && req.httpVersion === "1.1") {
    reply.sendError(callErrors.badRequest("bad_call", "no host is named"));
    return;
  }
  if (table === undefined) {
    reply.sendError(callErrors.notReady("no configuration is known yet"));
    return;
  }
  if (headerBytes > table.config.limits.headerBytes) {
    const error = callErrors.headersTooLarge();
    await refuseByLimits(parts, error, table, reply);
    return;
  }
  const head = dialect.parseCallHead(req.headers);
  const method = req.method ?? "GET";
  const path = req.url ?? "/";
  const jobCall = dialect.parseJobCall(method, path);
  if (jobCall !== undefined) {
    await jobs.answer(jobCall, head, reply);
    return;
  }
  const { host = "" } = req.headers;
  const check = await checkCurrentCall(parts, { head, host, path });
  if (check.kind === "refused") {
    reply.sendError(check.fault);
    return;
  }
  if (!reply.isConnected()) {
    return;
  }
  const { route, customer } = check;
  const isJob = route.shape === CALL_SHAPES.job;
  // What is refused anyway is refused before its body has come.
  const isOverRate =
    !isJob &&
    customer !== undefined &&
    call.isBodyOpen() &&
    !view.quotas.canTake(customer.name, customer, view.readNowMs());
  const error = isOverRate ? admitCustomer(view, customer) : undefined;
  if (error !== undefined) {
    reply.sendError(error);
    return;
  }
  const body = await takeBody(parts, call);
  if (body === undefined || !reply.isConnected()) {
    return;
  }
  const limitMs = isJob ? 0 : computeTimeLimitMs(route, head);
  if (isTooLate(limitMs)) {
    reply.sendError(callErrors.notReady(REQUESTS.STOPPING));
    return;
  }
  if (isJob) {
    await jobs.accept(route, customer, head, body, reply);
    return;
  }
  const service = chooseService(route, head.requestId ?? path);
  if (service === undefined) {
    reply.sendError(callErrors.noCapacity("the route has no service", 0));
    return;
  }
  const content = { method, path, customer: customer?.name ?? "", body };
  const admitted = {
    key: new RequestKey(content),
    head,
    route,
    service,
    customer,
    method,
    path,
    headers: req.headers,
    body,
    receivedMs,
    // The token came free in between, and has been taken.
    isAdmitted: isOverRate,
  };
  const run = new RequestRun(admitted, reply, { ...parts, onDone });
  onRun(run);
  run.start();
}

/** Waits for the body; undefined if it was refused, or its caller has left. */
async function takeBody(
  parts: CallParts,
  { readBody, arrivalTable, reply }: ArrivedCall,
): Promise<Buffer | undefined> {
  const read = await readBody();
  switch (read.kind) {
    case "read":
      return read.bytes;
    case "aborted":
      return undefined;
    case "crowded":
      reply.sendError(callErrors.crowded());
      return undefined;
    case "stalled":
      reply.sendError(callErrors.stalled());
      return undefined;
    case "too-large": {
      const maxBytes = arrivalTable?.config.limits.bodyBytes ?? 0;
      const error = callErrors.tooLarge(`over ${maxBytes} bytes`);
      await refuseByLimits(parts, error, arrivalTable, reply);
      return undefined;
    }
    default:
      return assertNever(read);
  }
}

/** Refuses what the limits don't allow, unless newer ones may. */
async function refuseByLimits(
  { view, tableCheck }: CallParts,
  error: CallError,
  table: RouteTable | undefined,
  reply: CallReply,
): Promise<void> {
  const isSure = await tableCheck.confirm("limits");
  const isSame = view.table === table;
  reply.sendError(isSure && isSame ? error : callErrors.configUncertain());
}
