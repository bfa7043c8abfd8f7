/** An account that callers use to log in. */
export interface CallerAccount {
    readonly user: string;
    /** SHA1(SHA1(password)) in hexadecimal, as `mysql_native_password` stores it. */
    readonly passwordHash: string;
    readonly defaultClass: string;
}
