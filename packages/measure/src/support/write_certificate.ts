import { writeFile } from "node:fs/promises";
import { join } from "node:path";
import { generate } from "selfsigned";
import type { Authority, CertificateFiles } from "./types.ts";

/** Writes a certificate signed by `authority`, replacing any existing files. */
export async function writeCertificate(
  authority: Authority,
  folder: string,
): Promise<CertificateFiles> {
  const signed = await generate([{ name: "commonName", value: "instance" }], {
    algorithm: "sha256",
    ca: { key: authority.private, cert: authority.cert },
    extensions: [
      {
        name: "subjectAltName",
        altNames: [
          { type: 2, value: "gooseberryline" },
          { type: 7, ip: "127.0.0.1" },
        ],
      },
    ],
  });
  const files = {
    certFile: join(folder, "cert.pem"),
    keyFile: join(folder, "key.pem"),
    caFile: join(folder, "ca.pem"),
  };
  await writeFile(files.certFile, signed.cert);
  await writeFile(files.keyFile, signed.private);
  await writeFile(files.caFile, authority.cert);
  return files;
}
