/** A random number in [0, 1), and the seed for the next draw. */
export type RandomDraw = { readonly value: number; readonly seed: number };

/** Draws from a generator (mulberry32); equal seeds give equal numbers. */
export function drawRandom(seed: number): RandomDraw {
  const next = (seed + 0x6d2b79f5) >>> 0;
  const a = Math.imul(next ^ (next >>> 15), next | 1);
  const b = a ^ (a + Math.imul(a ^ (a >>> 7), a | 61));
  return { value: ((b ^ (b >>> 14)) >>> 0) / 4_294_967_296, seed: next };
}
