/** Time span covered by one group of timers, in ms. */
export const TIMER_GROUP_MS = 250;
