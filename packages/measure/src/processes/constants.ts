/** Rate limit of each customer: requests per second, and burst. */
export const CUSTOMER_LIMIT = { rate: 12, burst: 12 } as const;
