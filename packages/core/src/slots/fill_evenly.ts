/**
 * Divides `total` whole slots evenly among demands, none above its demand. The
 * remainder goes to the last of equal demands, so pass current holders last.
 */
export function fillEvenly(
  total: number,
  demands: readonly number[],
): readonly number[] {
  const order = demands
    .map((demand, index) => ({ demand, at: index }))
    .sort((a, b) => a.demand - b.demand || a.at - b.at);
  const filled = order.reduce(
    ({ left, parts }, { demand, at: index }, step) => {
      const share = Math.floor(left / (order.length - step));
      const part = Math.max(0, Math.min(demand, share));
      return { left: left - part, parts: parts.with(index, part) };
    },
    { left: Math.max(0, total), parts: demands.map(() => 0) },
  );
  return filled.parts;
}
