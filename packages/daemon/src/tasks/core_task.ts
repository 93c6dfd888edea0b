import {
  createInstance,
  type Effect,
  type InstanceEvent,
  type InstanceSelf,
  type InstanceState,
  stepInstance,
} from "@gooseberryline/core";

const TICK_INTERVAL_MS = 20;

/** Carries out an effect of the core; results are posted back as events. */
export type EffectHandler = (effect: Effect) => void;

/**
 * Owns the instance's state. Other tasks post events to it; it steps the core
 * one event at a time and passes the resulting effects to the handler.
 */
export class CoreTask {
  #state: InstanceState;
  readonly #inbox: InstanceEvent[] = [];
  readonly #handle: EffectHandler;
  readonly #timer: NodeJS.Timeout;
  #isStepping = false;

  constructor(self: InstanceSelf, seed: number, handle: EffectHandler) {
    this.#state = createInstance(self, seed);
    this.#handle = handle;
    this.#timer = setInterval(
      () => this.post({ kind: "tick" }),
      TICK_INTERVAL_MS,
    );
  }

  /** The current state, as plain data that must not be modified. */
  get state(): InstanceState {
    return this.#state;
  }

  post(event: InstanceEvent): void {
    this.#inbox.push(event);
    if (this.#isStepping) {
      return;
    }
    this.#isStepping = true;
    this.#drainInbox();
    this.#isStepping = false;
  }

  stop(): void {
    clearInterval(this.#timer);
  }

  #drainInbox(): void {
    while (this.#inbox.length > 0) {
      const event = this.#inbox.shift();
      if (event === undefined) {
        return;
      }
      const step = stepInstance(this.#state, event, Date.now());
      this.#state = step.state;
      step.effects.forEach((effect) => {
        this.#handle(effect);
      });
    }
  }
}
