import { type Effect, stepInstance } from "@gooseberryline/core";

/** Totals over all instances since the meter was last reset. */
export type MeterReading = {
  readonly steps: number;
  /** Time spent in the core's step function. */
  readonly cpuMs: number;
  readonly messages: number;
  /** Size of the messages, encoded as JSON. */
  readonly messageBytes: number;
  readonly platformReads: number;
  readonly platformWrites: number;
  readonly runRecordBytes: number;
};

const READS = ["get", "list"];

/** Wraps the core's step function and counts its calls and effects. */
export class StepMeter {
  #reading: MeterReading = EMPTY;

  readonly step: typeof stepInstance = (state, event, nowMs) => {
    const startedMs = performance.now();
    const step = stepInstance(state, event, nowMs);
    const cpuMs = this.#reading.cpuMs + performance.now() - startedMs;
    const steps = this.#reading.steps + 1;
    this.#reading = step.effects.reduce(countEffect, {
      ...this.#reading,
      steps,
      cpuMs,
    });
    return step;
  };

  get reading(): MeterReading {
    return this.#reading;
  }

  /** Resets all totals to zero, e.g. after a warm-up. */
  reset(): void {
    this.#reading = EMPTY;
  }
}

const EMPTY: MeterReading = {
  steps: 0,
  cpuMs: 0,
  messages: 0,
  messageBytes: 0,
  platformReads: 0,
  platformWrites: 0,
  runRecordBytes: 0,
};

function countEffect(reading: MeterReading, effect: Effect): MeterReading {
  switch (effect.kind) {
    case "send-peer": {
      const bytes = JSON.stringify(effect.message).length;
      return {
        ...reading,
        messages: reading.messages + 1,
        messageBytes: reading.messageBytes + bytes,
      };
    }
    case "call-platform": {
      const isRead = READS.includes(effect.call.kind);
      return {
        ...reading,
        platformReads: reading.platformReads + (isRead ? 1 : 0),
        platformWrites: reading.platformWrites + (isRead ? 0 : 1),
      };
    }
    case "record-run": {
      const bytes = JSON.stringify(effect.run).length;
      return { ...reading, runRecordBytes: reading.runRecordBytes + bytes };
    }
    default:
      return reading;
  }
}
