import type { CasRequest } from "@gooseberryline/protocol";
import Router from "@koa/router";
import Koa, { type Context } from "koa";
import getRawBody from "raw-body";
import { listenOn } from "../listen_on.ts";
import { CallMeter } from "./call_meter.ts";
import { StoreState } from "./store_state.ts";
import type { FakeStore, StoreFaults, StoreOptions } from "./types.ts";

const WATCH_TIMEOUT_MS = 30_000;
const WATCH_POLL_INTERVAL_MS = 10;

/** Starts a fake of the platform's key-value service on loopback. */
export async function startStore(
  options: StoreOptions = {},
  port = 0,
): Promise<FakeStore> {
  const store = new StoreState();
  const meter = new CallMeter(options);
  const control = {
    faults: { isDown: false, delayMs: 0, loseAnswers: 0 } as StoreFaults,
    instances: options.instances ?? [],
    isClosed: false,
  };
  const setFaults = (faults: Partial<StoreFaults>): void => {
    control.faults = { ...control.faults, ...faults };
  };
  const app = new Koa();
  const router = new Router();
  router.get("/control/calls", (ctx) => {
    ctx.body = meter.readCalls();
  });
  router.post("/control/faults", async (ctx) => {
    setFaults((await readJson(ctx)) as Partial<StoreFaults>);
    ctx.body = control.faults;
  });
  router.post("/control/instances", async (ctx) => {
    control.instances = (await readJson(ctx)) as [];
    ctx.body = {};
  });
  router.use(async (ctx, next) => {
    if (control.faults.isDown) {
      dropCall(ctx);
      return;
    }
    if (!meter.admitCall(ctx.path, Date.now())) {
      ctx.status = 429;
      ctx.set("retry-after", "1");
      return;
    }
    await wait(control.faults.delayMs);
    await next();
  });
  router.post("/kv/get", async (ctx) => {
    const { key } = (await readJson(ctx)) as { key: string };
    ctx.body = { record: store.get(key, Date.now()) };
  });
  router.post("/kv/list", async (ctx) => {
    const { prefix } = (await readJson(ctx)) as { prefix: string };
    ctx.body = { records: store.list(prefix, Date.now()) };
  });
  router.post("/kv/cas", async (ctx) => {
    const request = (await readJson(ctx)) as CasRequest;
    const answer = store.cas(request, Date.now());
    if (control.faults.loseAnswers > 0 && answer.kind === "written") {
      setFaults({ loseAnswers: control.faults.loseAnswers - 1 });
      dropCall(ctx);
      return;
    }
    ctx.body = answer;
  });
  router.post("/kv/watch", async (ctx) => {
    const { prefix, revision } = (await readJson(ctx)) as {
      prefix: string;
      revision: number;
    };
    const endMs = Date.now() + WATCH_TIMEOUT_MS;
    const poll = async (): Promise<void> => {
      const answer = store.readChanges(prefix, revision, Date.now());
      const isExpired = Date.now() > endMs || control.isClosed;
      if (control.faults.isDown || ctx.res.destroyed) {
        dropCall(ctx);
        return;
      }
      if (answer.records.length > 0 || isExpired) {
        ctx.body = answer;
        return;
      }
      await wait(WATCH_POLL_INTERVAL_MS);
      await poll();
    };
    await poll();
  });
  router.post("/lease/grant", async (ctx) => {
    const { ttlMs } = (await readJson(ctx)) as { ttlMs: number };
    ctx.body = { leaseId: store.grantLease(ttlMs, Date.now()) };
  });
  router.post("/lease/keep", async (ctx) => {
    const { leaseId } = (await readJson(ctx)) as { leaseId: string };
    ctx.body = { isKept: store.renewLease(leaseId, Date.now()) };
  });
  router.post("/instances", (ctx) => {
    ctx.body = { instances: control.instances };
  });
  app.use(router.routes());
  const listening = await listenOn(app.callback(), port);
  return {
    url: listening.url,
    setFaults,
    setInstances: (instances) => {
      control.instances = instances;
    },
    readCalls: () => meter.readCalls(),
    close: () => {
      control.isClosed = true;
      return listening.close();
    },
  };
}

async function readJson(ctx: Context): Promise<unknown> {
  return JSON.parse((await getRawBody(ctx.req)).toString());
}

function dropCall(ctx: Context): void {
  ctx.respond = false;
  ctx.req.socket.destroy();
}

function wait(delayMs: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, delayMs));
}
