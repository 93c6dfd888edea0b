/** What the helpers of tests and measurements share. */

/** An authority that signs certificates in tests, PEM. */
export type Authority = { readonly cert: string; readonly private: string };

/** Files of a certificate, its key and its authority, as settings name them. */
export type CertificateFiles = {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
};
