import type { EngineModel } from "./types.ts";

/** A small model engine: 50 tokens of an unloaded one take 1.1 s. */
export const ENGINE_DEFAULTS: EngineModel = {
  firstTokenMs: 100,
  tokenMs: 20,
  slots: 16,
  coldSlots: 1,
  warmAfter: 64,
};
