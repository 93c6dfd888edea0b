import { drawRandom } from "@gooseberryline/core";
import type { SoakAction } from "./types.ts";

/** Draws a number in [0, below) and moves the generator on. */
type Draw = (below: number) => number;

const MAX_WAIT_MS = 2_000;
const MAX_PAUSE_MS = 20_000;
const MAX_OUTAGE_MS = 30_000;
const MAX_ITEMS = 60;
const INDEX_LIMIT = 64;

/** How to draw each kind of action, and how often relative to others. */
const RECIPES: readonly {
  readonly weight: number;
  readonly draw: (draw: Draw) => SoakAction;
}[] = [
  { weight: 12, draw: (draw) => ({ kind: "wait", ms: draw(MAX_WAIT_MS) }) },
  {
    weight: 16,
    draw: (draw) => ({
      kind: "requests",
      customer: draw(INDEX_LIMIT),
      profile: draw(3) === 0 ? "charge" : "counter",
      count: 1 + draw(30),
    }),
  },
  { weight: 2, draw: (draw) => ({ kind: "kill", instance: draw(64) }) },
  { weight: 3, draw: () => ({ kind: "restart" }) },
  {
    weight: 2,
    draw: (draw) => ({
      kind: "pause",
      instance: draw(INDEX_LIMIT),
      ms: draw(MAX_PAUSE_MS),
    }),
  },
  { weight: 1, draw: (draw) => ({ kind: "stop", instance: draw(64) }) },
  { weight: 2, draw: (draw) => ({ kind: "cut-instance", instance: draw(64) }) },
  {
    weight: 1,
    draw: (draw) => ({ kind: "cut-data-centre", dataCentre: draw(64) }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "cut-platform", dataCentre: draw(64) }),
  },
  { weight: 4, draw: () => ({ kind: "heal" }) },
  { weight: 1, draw: (draw) => ({ kind: "loss", share: draw(20) / 100 }) },
  {
    weight: 1,
    draw: (draw) => ({ kind: "store-down", ms: draw(MAX_OUTAGE_MS) }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "store-slow", delayMs: 2 + draw(1_500) }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "store-loses-answers", count: 1 + draw(4) }),
  },
  { weight: 1, draw: (draw) => ({ kind: "engine-cold", engine: draw(64) }) },
  {
    weight: 1,
    draw: (draw) => ({
      kind: "engine-silent",
      engine: draw(INDEX_LIMIT),
      ms: draw(MAX_PAUSE_MS),
    }),
  },
  {
    weight: 1,
    draw: (draw) => ({
      kind: "engine-down",
      engine: draw(INDEX_LIMIT),
      ms: draw(MAX_PAUSE_MS),
    }),
  },
  { weight: 1, draw: (draw) => ({ kind: "engine-cuts", engine: draw(64) }) },
  {
    weight: 2,
    draw: (draw) => ({
      kind: "data-centre",
      dataCentre: draw(INDEX_LIMIT),
      state: draw(2) === 0 ? "in" : "out",
    }),
  },
  {
    weight: 1,
    draw: (draw) => ({
      kind: "rate",
      customer: draw(INDEX_LIMIT),
      rate: 2 + draw(30),
    }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "withdraw-key", customer: draw(INDEX_LIMIT) }),
  },
  {
    weight: 2,
    draw: (draw) => ({
      kind: "job",
      customer: draw(INDEX_LIMIT),
      items: 1 + draw(MAX_ITEMS),
      isIdempotent: draw(2) === 0,
      instance: draw(INDEX_LIMIT),
    }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "resend-job", job: draw(INDEX_LIMIT) }),
  },
  {
    weight: 1,
    draw: (draw) => ({ kind: "cancel-job", job: draw(INDEX_LIMIT) }),
  },
];

const BAG = RECIPES.flatMap((recipe) =>
  Array.from({ length: recipe.weight }, () => recipe),
);

/** Draws `steps` actions; equal seeds draw equal actions. */
export function drawActions(
  seed: number,
  steps: number,
): readonly SoakAction[] {
  const control = { seed };
  const draw: Draw = (below) => {
    const { value, seed: next } = drawRandom(control.seed);
    control.seed = next;
    return Math.floor(value * below);
  };
  return Array.from({ length: steps }, () => {
    const recipe = BAG[draw(BAG.length)];
    return recipe === undefined ? { kind: "heal" as const } : recipe.draw(draw);
  });
}
