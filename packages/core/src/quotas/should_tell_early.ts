import { QUOTAS } from "./constants.ts";
import type { Quota, QuotaLimit } from "./types.ts";

/**
 * Returns whether peers should hear before the next interval of what was admitted
 * here since the last report: where less is left than the target, all of them may
 * be spending the same tokens.
 */
export function shouldTellEarly(
  { tokens }: Quota,
  { burst }: QuotaLimit,
  untold: number,
): boolean {
  return untold > 0 && tokens < burst * QUOTAS.TARGET_SHARE;
}
