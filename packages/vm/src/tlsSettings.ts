/** Certificates and private key for the links between VMs, in PEM format. */
export interface TlsSettings {
    readonly certificate: string;
    readonly privateKey: string;
    /** Certificate of the cluster's certificate authority. A peer whose certificate was not signed by it is refused. */
    readonly authority: string;
}
