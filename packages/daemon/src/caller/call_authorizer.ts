import type { Config, CustomerId, ServiceConfig } from "@gooseberryline/core";
import type { Context } from "koa";
import { authenticateCaller } from "./authenticate_caller.ts";
import { BodyBudget } from "./body_budget.ts";
import type { CallerTask } from "./caller_task.ts";
import { chooseProfile } from "./choose_profile.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { KeyIndex } from "./key_index.ts";
import { OpenRates } from "./open_rates.ts";
import type { Caller, ChosenProfile, Requester } from "./types.ts";

const PROFILE_HEADER = "x-gooseberryline-profile";
const ANYONE = "" as CustomerId;

/** Whom a request runs for, and under which profile. */
export type Admitted = {
  readonly requester: Requester;
  readonly chosen: ChosenProfile;
};

type DoorParts = {
  readonly readConfig: () => Config | undefined;
  readonly calls: CallerTask;
};

/** Decides who may call, and under which profile a call runs. */
export class CallAuthorizer {
  readonly calls: CallerTask;
  readonly bodies = new BodyBudget();
  readonly #readConfig: () => Config | undefined;
  readonly #keys = new KeyIndex();
  readonly #openRates = new OpenRates();

  constructor({ readConfig, calls }: DoorParts) {
    this.calls = calls;
    this.#readConfig = readConfig;
  }

  requireConfig(): Config {
    const config = this.#readConfig();
    if (config === undefined) {
      throw new HttpRefusal(503, "no configuration yet", { code: "not_ready" });
    }
    return config;
  }

  authenticate(ctx: Context): Caller {
    return authenticateCaller(ctx, this.requireConfig(), this.#keys);
  }

  /** Admits the customer whose key came with the request. */
  admitCustomer(ctx: Context): Admitted {
    const requester = this.authenticate(ctx);
    const { document } = this.requireConfig();
    const asked = ctx.get(PROFILE_HEADER);
    const name = asked || requester.customer.defaultProfile;
    const chosen = chooseProfile(document, name, PROFILE_HEADER);
    return { requester, chosen };
  }

  /** Largest body that the caller may send to a service, bytes. */
  findBodyLimit(ctx: Context, service: string): number {
    const { document } = this.requireConfig();
    const config = document.services[service];
    const { chosen } =
      config?.openToAll === true
        ? { chosen: chooseProfile(document, config.openProfile ?? "") }
        : this.admitCustomer(ctx);
    return chosen.profile.limits.bodyBytes;
  }

  /** Admits anyone to a service that is open to all, within its rate. */
  admitAnyone(ctx: Context, service: string): Admitted {
    const { document } = this.requireConfig();
    const config = document.services[service];
    if (config?.openToAll !== true) {
      return this.admitCustomer(ctx);
    }
    this.#takeOpenPlace(service, config);
    const chosen = chooseProfile(document, config.openProfile ?? "");
    return { requester: { customerId: ANYONE, keyId: undefined }, chosen };
  }

  #takeOpenPlace(service: string, config: ServiceConfig): void {
    const waitMs = this.#openRates.take(service, config, Date.now());
    if (waitMs > 0) {
      throw new HttpRefusal(429, "the open rate is used up", {
        code: "rate_limited",
        step: "admit",
        peer: service,
        retryAfterMs: waitMs,
      });
    }
  }
}
