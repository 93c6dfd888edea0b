/**
 * Splits `total` whole slots between wants, equal parts first, none above
 * its want. Ties go to the last, so give the present holder last.
 */
export function fillEvenly(
  total: number,
  demands: readonly number[],
): readonly number[] {
  const order = demands
    .map((demand, index) => ({ demand, index }))
    .sort((a, b) => a.demand - b.demand || a.index - b.index);
  const filled = order.reduce(
    ({ left, parts }, { demand, index }, step) => {
      const share = Math.floor(left / (order.length - step));
      const part = Math.max(0, Math.min(demand, share));
      return { left: left - part, parts: parts.with(index, part) };
    },
    { left: Math.max(0, total), parts: demands.map(() => 0) },
  );
  return filled.parts;
}
