/** Width of one group of timers, milliseconds. */
export const TIMER_GROUP_MS = 250;
