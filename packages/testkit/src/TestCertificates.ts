/** A temporary certificate authority for TLS tests, based on the `node-forge` library. */
import { generateKeyPairSync } from 'node:crypto';
import forge from 'node-forge';

const KEY_BITS = 2048;
const VALID_DAYS = 2;
// Types of subject alternative names (the `GeneralName` tags of RFC 5280).
const IP_ALT_NAME_TYPE = 7;
const DNS_ALT_NAME_TYPE = 2;

export interface CertifiedKey {
  readonly cert: string;
  readonly key: string;
}

interface KeyPair {
  readonly publicKey: forge.pki.rsa.PublicKey;
  readonly privateKey: forge.pki.rsa.PrivateKey;
}

function createKeyPair(): KeyPair {
  const { privateKey } = generateKeyPairSync('rsa', {
    modulusLength: KEY_BITS,
    privateKeyEncoding: { type: 'pkcs1', format: 'pem' },
    publicKeyEncoding: { type: 'spki', format: 'pem' },
  });
  const parsed = forge.pki.privateKeyFromPem(privateKey);
  return { privateKey: parsed, publicKey: forge.pki.setRsaPublicKey(parsed.n, parsed.e) };
}

export class TestCertificates {
  private readonly authorityKeys = createKeyPair();

  private readonly authority = this.sign('test authority', this.authorityKeys.publicKey, [
    { name: 'basicConstraints', cA: true },
  ]);

  private nextSerial = 1;

  /** The authority's certificate in PEM. */
  get caCert(): string {
    return forge.pki.certificateToPem(this.authority);
  }

  /** Creates a key with a certificate for `name` and the loopback address. */
  issue(name: string): CertifiedKey {
    const keys = createKeyPair();
    const certificate = this.sign(name, keys.publicKey, [
      {
        name: 'subjectAltName',
        altNames: [
          { type: DNS_ALT_NAME_TYPE, value: name },
          { type: IP_ALT_NAME_TYPE, ip: '127.0.0.1' },
        ],
      },
    ]);
    return {
      cert: forge.pki.certificateToPem(certificate),
      key: forge.pki.privateKeyToPem(keys.privateKey),
    };
  }

  private sign(
    name: string,
    publicKey: forge.pki.rsa.PublicKey,
    extensions: object[],
  ): forge.pki.Certificate {
    const certificate = forge.pki.createCertificate();
    // Undefined while the field initializer of `authority`, which runs first, signs its certificate.
    this.nextSerial = (this.nextSerial ?? 0) + 1;
    certificate.publicKey = publicKey;
    certificate.serialNumber = this.nextSerial.toString(16).padStart(4, '0');
    certificate.validity.notBefore = new Date(Date.now() - VALID_DAYS * 86_400_000);
    certificate.validity.notAfter = new Date(Date.now() + VALID_DAYS * 86_400_000);
    certificate.setSubject([{ name: 'commonName', value: name }]);
    certificate.setIssuer([{ name: 'commonName', value: 'test authority' }]);
    certificate.setExtensions(extensions);
    certificate.sign(this.authorityKeys.privateKey, forge.md.sha256.create());
    return certificate;
  }
}
