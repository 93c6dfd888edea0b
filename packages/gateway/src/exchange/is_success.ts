const SUCCESS = 200;
const REDIRECTION = 300;

/** Returns whether a status says that the request was served. */
export function isSuccess(status: number): boolean {
  return status >= SUCCESS && status < REDIRECTION;
}
