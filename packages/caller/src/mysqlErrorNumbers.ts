import { Diagnostics as RoutingDiagnostics } from "@vanillarouter/routing/diagnostics";
import { Diagnostics } from "./diagnostics";

const unknownError = 1105;

/** MySQL error numbers by result code, for clients that handle errors by number. Other codes map to 1105 (unknown error). */
export const mysqlErrorNumbers = {
    unknownError,
    byCode: new Map<number, number>([
        [Diagnostics.accessDenied.code, 1045],
        [Diagnostics.loginTimedOut.code, 1159],
        [Diagnostics.tooManyConnections.code, 1040],
        [Diagnostics.packetOutOfOrder.code, 1156],
        [Diagnostics.statementTooLarge.code, 1153],
        [Diagnostics.malformedHint.code, 1064],
        [Diagnostics.unsupportedCommand.code, 1047],
        [Diagnostics.unsupportedStatement.code, 1235],
        [Diagnostics.malformedLogin.code, 1043],
        [Diagnostics.unsupportedCharacterSet.code, 1115],
        [Diagnostics.noDatabaseSelected.code, 1046],
        [Diagnostics.shuttingDown.code, 1053],
        [Diagnostics.unknownVariable.code, 1193],
        [RoutingDiagnostics.unknownGroup.code, 1049],
        [RoutingDiagnostics.readOnlyClass.code, 1290],
    ]),
} as const;
