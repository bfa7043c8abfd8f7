import { md, pki } from "node-forge";
import { TlsSettings } from "../tlsSettings";

const keyBits = 2048;
const dayMs = 86_400_000;

interface Identity {
    readonly certificate: pki.Certificate;
    readonly keys: pki.rsa.KeyPair;
}

function createIdentity(name: string, serialNumber: string, issuer?: Identity): Identity {
    const keys = pki.rsa.generateKeyPair(keyBits);
    const certificate = pki.createCertificate();
    certificate.publicKey = keys.publicKey;
    certificate.serialNumber = serialNumber;
    certificate.validity.notBefore = new Date(Date.now() - dayMs);
    certificate.validity.notAfter = new Date(Date.now() + 365 * dayMs);
    const subject = [{ name: "commonName", value: name }];
    certificate.setSubject(subject);
    certificate.setIssuer(issuer === undefined ? subject : issuer.certificate.subject.attributes);
    certificate.setExtensions([{ name: "basicConstraints", cA: issuer === undefined }]);
    certificate.sign((issuer?.keys ?? keys).privateKey, md.sha256.create());
    return { certificate, keys };
}

/** Creates a cluster certificate authority and one certificate signed by it, for tests, the demo and measurements. */
export function createTestCertificates(): TlsSettings {
    const authority = createIdentity("vanillarouter test authority", "01");
    const vm = createIdentity("vanillarouter test vm", "02", authority);
    return {
        certificate: pki.certificateToPem(vm.certificate),
        privateKey: pki.privateKeyToPem(vm.keys.privateKey),
        authority: pki.certificateToPem(authority.certificate),
    };
}
