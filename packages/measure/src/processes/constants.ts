/** Requests a second and at once of every customer of the run. */
export const CUSTOMER_LIMIT = { rate: 12, burst: 12 } as const;
