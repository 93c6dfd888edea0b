import { randomUUID } from "node:crypto";
import type { ServerResponse } from "node:http";
import Router from "@koa/router";
import Koa from "koa";
import getRawBody from "raw-body";
import { listenOn } from "../listen_on.ts";
import type {
  EngineFaults,
  EngineOptions,
  EngineRequest,
  FakeEngine,
} from "./types.ts";

type RequestBody = {
  readonly model?: string;
  readonly stream?: boolean;
  readonly max_tokens?: number;
};

const DEFAULT_TOKENS = 8;

/** Starts a fake model engine that listens on loopback. */
export async function startEngine(
  options: EngineOptions = {},
  port = 0,
): Promise<FakeEngine> {
  const runs: EngineRequest[] = [];
  const control = {
    inFlight: 0,
    stalled: 0,
    faults: {} as Partial<EngineFaults>,
  };
  const bootId = randomUUID();
  const app = new Koa();
  const router = new Router();
  router.post(["/v1/chat/completions", "/v1/completions"], async (ctx) => {
    const text = (await getRawBody(ctx.req)).toString();
    const body = JSON.parse(text) as RequestBody;
    const requestId = ctx.get("x-request-id");
    const run = {
      requestId,
      prompt: text,
      headers: ctx.headers,
      isFinished: false,
    };
    runs.push(run);
    ctx.respond = false;
    ctx.status = 200;
    const { faults } = control;
    if (faults.failStatus !== undefined) {
      ctx.res.writeHead(faults.failStatus).end("{}");
      return;
    }
    control.inFlight += 1;
    ctx.res.on("close", () => {
      control.inFlight -= 1;
    });
    if (faults.isSilent === true) {
      return;
    }
    const echoedRequestId =
      faults.hasWrongRequestId === true ? "another" : requestId;
    ctx.res.setHeader("x-request-id", echoedRequestId);
    ctx.res.setHeader("x-boot-id", bootId);
    const addStalled = (change: number): void => {
      control.stalled += change;
    };
    const answer = { body, res: ctx.res, options, faults, addStalled };
    run.isFinished =
      body.stream === true
        ? await streamAnswer(answer)
        : await sendAnswer(answer);
  });
  app.use(router.routes());
  const listening = await listenOn(app.callback(), port);
  return {
    url: listening.url,
    runs,
    countInFlight: () => control.inFlight,
    countBlockedStreams: () => control.stalled,
    setFaults: (faults) => {
      control.faults = { ...control.faults, ...faults };
    },
    close: listening.close,
  };
}

type Answer = {
  readonly body: RequestBody;
  readonly res: ServerResponse;
  readonly options: EngineOptions;
  readonly faults: Partial<EngineFaults>;
  readonly addStalled: (change: number) => void;
};

function countTokens({ body, options }: Answer): number {
  return body.max_tokens ?? options.tokens ?? DEFAULT_TOKENS;
}

async function sendAnswer(answer: Answer): Promise<boolean> {
  const { res, body, options } = answer;
  const tokens = countTokens(answer);
  await wait((options.firstTokenMs ?? 0) + tokens * (options.tokenMs ?? 0));
  const content = "word ".repeat(tokens);
  res.setHeader("content-type", "application/json");
  res.end(
    JSON.stringify({
      id: "chatcmpl-fake",
      object: "chat.completion",
      created: 0,
      model: body.model,
      choices: [
        {
          index: 0,
          message: { role: "assistant", content },
          finish_reason: "stop",
        },
      ],
      usage: {
        prompt_tokens: 1,
        completion_tokens: tokens,
        total_tokens: tokens + 1,
      },
    }),
  );
  return !res.destroyed;
}

async function streamAnswer(answer: Answer): Promise<boolean> {
  const { res, options, faults } = answer;
  res.setHeader("content-type", "text/event-stream");
  await wait(options.firstTokenMs ?? 0);
  const tokens = countTokens(answer);
  const tokenLimit = Math.min(tokens, faults.cutAfterTokens ?? tokens);
  await writeTokens(answer, tokenLimit);
  if (tokenLimit < tokens) {
    res.destroy();
    return false;
  }
  res.end("data: [DONE]\n\n");
  return !res.destroyed;
}

async function writeTokens(answer: Answer, tokenLimit: number): Promise<void> {
  const { res, body, options, addStalled } = answer;
  const chunk = {
    id: "chatcmpl-fake",
    object: "chat.completion.chunk",
    created: 0,
    model: body.model,
    choices: [{ index: 0, delta: { content: "word " }, finish_reason: null }],
  };
  const line = `data: ${JSON.stringify(chunk)}\n\n`;
  for (const _token of Array(tokenLimit).keys()) {
    if (res.destroyed) {
      return;
    }
    if (!res.write(line)) {
      addStalled(1);
      await waitForDrain(res);
      addStalled(-1);
    }
    await wait(options.tokenMs ?? 0);
  }
}

function waitForDrain(res: ServerResponse): Promise<void> {
  return new Promise((resolve) => {
    const settle = (): void => {
      res.off("drain", settle);
      res.off("close", settle);
      resolve();
    };
    res.on("drain", settle);
    res.on("close", settle);
  });
}

function wait(delayMs: number): Promise<void> {
  return delayMs <= 0
    ? Promise.resolve()
    : new Promise((resolve) => setTimeout(resolve, delayMs));
}
