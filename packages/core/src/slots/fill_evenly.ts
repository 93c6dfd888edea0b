/**
 * Splits `total` whole slots between wants, equal parts first, none above
 * its want. Ties go to the last, so give the present holder last.
 */
export function fillEvenly(
  total: number,
  wants: readonly number[],
): readonly number[] {
  const order = wants
    .map((want, at) => ({ want, at }))
    .sort((a, b) => a.want - b.want || a.at - b.at);
  const filled = order.reduce(
    ({ left, parts }, { want, at }, step) => {
      const share = Math.floor(left / (order.length - step));
      const part = Math.max(0, Math.min(want, share));
      return { left: left - part, parts: parts.with(at, part) };
    },
    { left: Math.max(0, total), parts: wants.map(() => 0) },
  );
  return filled.parts;
}
