import { z } from "zod";

/** Schema of a listener's certificate files, which are reloaded on change. */
export const TLS_SCHEMA = z.strictObject({
  /** PEM file with the certificate and its chain. */
  certFile: z.string().min(1),
  /** PEM file with the private key. */
  keyFile: z.string().min(1),
});
