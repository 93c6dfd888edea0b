import type { IncomingMessage, ServerResponse } from "node:http";
import {
  authenticateCaller,
  findRoute,
  type RouteTable,
} from "@gooseberryline/core";
import { RequestKey } from "../crashes/request_key.ts";
import type { CallerListener } from "../http/caller_listener.ts";
import type { RequestIntake } from "../intake/request_intake.ts";
import type { AttemptParts } from "../requests/attempt.ts";
import { callErrors } from "../requests/call_errors.ts";
import { RequestRun } from "../requests/request_run.ts";
import type { AdmittedCall, CallReply } from "../requests/types.ts";
import { runSlowStep } from "../steps/run_slow_step.ts";
import type { TurnParts } from "../waiting/request_turn.ts";
import { buildPassReply } from "./build_pass_reply.ts";
import { PASSING } from "./constants.ts";
import { passedRequest } from "./passed_request.ts";
import type { PassedRequest } from "./types.ts";

type TakenRequestsParts = AttemptParts & {
  readonly listener: Pick<
    CallerListener,
    "openCalls" | "isStopping" | "isTooLate"
  >;
  readonly turns?: TurnParts | undefined;
  readonly onDone: (outcome: string, tookMs: number) => void;
};

const FORBIDDEN = 403;

/** Serves the requests that peers without a path to upstreams pass on. */
export class TakenRequests {
  readonly #parts: TakenRequestsParts;
  #count = 0;

  constructor(parts: TakenRequestsParts) {
    this.#parts = parts;
    const { reach } = parts.view;
    reach.canTake = () =>
      parts.view.table !== undefined &&
      this.#count < PASSING.MAX_TAKEN &&
      !parts.listener.isStopping;
  }

  /** Serves one message; only instances of the fleet are heard. */
  async handle(
    req: IncomingMessage,
    res: ServerResponse,
    intake: Pick<RequestIntake, "read">,
  ): Promise<void> {
    const about = { step: "passed-request" };
    const serve = async (): Promise<true> => {
      await this.#serve(req, res, intake);
      return true;
    };
    if ((await runSlowStep(this.#parts.log, about, serve)) !== true) {
      res.destroy();
    }
  }

  async #serve(
    req: IncomingMessage,
    res: ServerResponse,
    intake: Pick<RequestIntake, "read">,
  ): Promise<void> {
    if (!this.#isFromPeer(req)) {
      res.writeHead(FORBIDDEN, { connection: "close" }).end();
      return;
    }
    const passId = req.headers[PASSING.ID_HEADER]?.toString();
    const state: { run?: RequestRun } = {};
    const reply = buildPassReply({
      res,
      passId,
      readVersion: () => state.run?.version ?? "",
    });
    this.#count += 1;
    const open = this.#parts.listener.openCalls.add();
    res.once("close", () => {
      this.#count -= 1;
      open.remove();
      if (!res.writableFinished) {
        state.run?.cancel();
      }
    });
    const call = await this.#read(intake, reply);
    if (call === undefined || !reply.isConnected()) {
      return;
    }
    state.run = new RequestRun(call, reply, {
      ...this.#parts,
      // The instance that passed the request on records what began its stream.
      origins: {
        find: async () => call.origin,
        recordBegun: () => () => undefined,
      },
    });
    open.setRun(state.run);
    state.run.start();
  }

  #isFromPeer({ socket }: IncomingMessage): boolean {
    return this.#parts.view
      .listPeers()
      .some(({ address }) => address === socket.remoteAddress);
  }

  /** Returns undefined if the request was refused, which is never final. */
  async #read(
    intake: Pick<RequestIntake, "read">,
    reply: CallReply,
  ): Promise<AdmittedCall | undefined> {
    const { view } = this.#parts;
    const refuse = (reason: string): undefined => {
      reply.sendError(callErrors.notReady(reason));
      return undefined;
    };
    // Before that it may only have been slow itself.
    if (view.reach.isConfirmed) {
      return refuse("this instance reaches no upstream either");
    }
    if (this.#count > PASSING.MAX_TAKEN) {
      return refuse("too many requests of peers are in flight");
    }
    const message = await intake.read();
    if (message.kind === "crowded") {
      return refuse("this instance has no room for the message");
    }
    const request =
      message.kind === "read" ? passedRequest.decode(message.bytes) : undefined;
    if (request === undefined) {
      return refuse("the message can't be read");
    }
    if (this.#parts.listener.isTooLate(request.leftMs)) {
      return refuse("this instance is stopping");
    }
    const { table } = view;
    const call =
      table === undefined ? undefined : this.#buildCall(table, request);
    return call ?? refuse("the configuration here differs");
  }

  /** Returns undefined if this instance does not know the route or customer. */
  #buildCall(
    table: RouteTable,
    request: PassedRequest,
  ): AdmittedCall | undefined {
    const { host, method, path, headers, body, spentMs, leftMs } = request;
    const { service, origin, lastEventId } = request;
    const route = findRoute(table, host, path);
    const customer =
      request.customer === undefined
        ? undefined
        : table.customers.get(request.customer);
    const isKnown =
      request.customer === undefined
        ? authenticateCaller(table, route, undefined).kind === "anyone"
        : customer !== undefined;
    if (route?.name !== request.route || !isKnown) {
      return undefined;
    }
    const { dialect, view } = this.#parts;
    const head = {
      ...dialect.parseCallHead(headers),
      lastEventId,
      deadlineMs: spentMs + leftMs,
    };
    const content = { method, path, customer: customer?.name ?? "", body };
    return {
      key: new RequestKey(content),
      head,
      route: { ...route, maxAttempts: request.attempts },
      service,
      customer,
      method,
      path,
      headers,
      body,
      receivedMs: view.readNowMs() - spentMs,
      origin,
      isAdmitted: true,
    };
  }
}
