import type { Config, CustomerId, ServiceConfig } from "@gooseberryline/core";
import type { Context } from "koa";
import { authenticateCaller } from "./authenticate_caller.ts";
import { BodyBudget } from "./body_budget.ts";
import type { CallerTask } from "./caller_task.ts";
import { chooseProfile } from "./choose_profile.ts";
import { HttpRefusal } from "./http_refusal.ts";
import { KeyIndex } from "./key_index.ts";
import { OpenRateLimiter } from "./open_rate_limiter.ts";
import type { Caller, ChosenProfile, Requester } from "./types.ts";

const PROFILE_HEADER = "x-gooseberryline-profile";
const ANONYMOUS_CUSTOMER = "" as CustomerId;

/** The requester and the profile that a request was admitted with. */
export type Admission = {
  readonly requester: Requester;
  readonly chosen: ChosenProfile;
};

type CallAuthorizerParts = {
  readonly readConfig: () => Config | undefined;
  readonly calls: CallerTask;
};

/** Authenticates callers and selects the profile that a call runs under. */
export class CallAuthorizer {
  readonly calls: CallerTask;
  readonly bodies = new BodyBudget();
  readonly #readConfig: () => Config | undefined;
  readonly #keys = new KeyIndex();
  readonly #openRateLimiter = new OpenRateLimiter();

  constructor({ readConfig, calls }: CallAuthorizerParts) {
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

  /** Admits the customer that owns the tenant key of the request. */
  admitCustomer(ctx: Context): Admission {
    const requester = this.authenticate(ctx);
    const { document } = this.requireConfig();
    const requestedProfile = ctx.get(PROFILE_HEADER);
    const name = requestedProfile || requester.customer.defaultProfile;
    const chosen = chooseProfile(document, name, PROFILE_HEADER);
    return { requester, chosen };
  }

  /**
   * Returns the maximum body size for a call to the service, in bytes. Throws a
   * refusal if the service requires a customer and the tenant key is invalid.
   */
  findBodyLimit(ctx: Context, service: string): number {
    const { document } = this.requireConfig();
    const config = document.services[service];
    const { chosen } =
      config?.openToAll === true
        ? { chosen: chooseProfile(document, config.openProfile ?? "") }
        : this.admitCustomer(ctx);
    return chosen.profile.limits.bodyBytes;
  }

  /**
   * Admits any caller to a service that is open to all, within its rate limit;
   * other services require a customer.
   */
  admitCaller(ctx: Context, service: string): Admission {
    const { document } = this.requireConfig();
    const config = document.services[service];
    if (config?.openToAll !== true) {
      return this.admitCustomer(ctx);
    }
    this.#takeOpenToken(service, config);
    const chosen = chooseProfile(document, config.openProfile ?? "");
    return {
      requester: { customerId: ANONYMOUS_CUSTOMER, keyId: undefined },
      chosen,
    };
  }

  #takeOpenToken(service: string, config: ServiceConfig): void {
    const waitMs = this.#openRateLimiter.take(service, config, Date.now());
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
