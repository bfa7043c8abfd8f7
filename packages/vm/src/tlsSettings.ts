/** Certificates of the links between VMs, in PEM form. */
export interface TlsSettings {
    readonly certificate: string;
    readonly privateKey: string;
    /** Certificate of the cluster's authority. A peer whose certificate it did not sign is refused. */
    readonly authority: string;
}
