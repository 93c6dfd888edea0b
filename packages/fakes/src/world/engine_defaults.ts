import type { EngineModel } from "./types.ts";

/** Defaults of a small engine; without load, 50 tokens take 1.1 s. */
export const ENGINE_DEFAULTS: EngineModel = {
  firstTokenMs: 100,
  tokenMs: 20,
  slots: 16,
  coldSlots: 1,
  warmAfter: 64,
};
