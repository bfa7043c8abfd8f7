/** The sections of the operators' configuration. */
export enum ConfigurationSection {
    Classes = "classes",
    Accounts = "accounts",
    Groups = "groups",
}
