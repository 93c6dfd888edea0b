/** Types shared by the helpers of tests and measurements. */

/** PEM certificate and private key of a test certificate authority. */
export type Authority = { readonly cert: string; readonly private: string };

/** Paths of a certificate, its key and its CA certificate, for the settings. */
export type CertificateFiles = {
  readonly certFile: string;
  readonly keyFile: string;
  readonly caFile: string;
};
