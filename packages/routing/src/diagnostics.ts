import { DiagnosticMessage } from "@vanillarouter/base/diagnosticMessage";

function message(code: number, text: string, remedy: string): DiagnosticMessage {
    return { code, text, remedy };
}

/** Result codes 1200 to 1299. */
export const Diagnostics = {
    unknownClass: message(1200, "unknown class of work {0}", "Name a class that `vrctl classes list` shows."),
    unknownGroup: message(1201, "unknown database {0}", "Name a database group that `vrctl groups list` shows."),
    noOwner: message(1202, "no VM can own upstream {0}", "Check that the upstream's availability zone, or another one, has live VMs."),
    noPrimary: message(1203, "database group {0} has no primary", "Wait for the failover; if a majority of its upstreams is unreachable, restore one."),
    deadlineNotFeasible: message(1204, "the target of {0} ms cannot be met any more", "Retry later; the system is overloaded."),
    shareExceeded: message(1205, "class {0} exceeds its ordinary share during an overload", "Retry later or reduce the load of this class."),
    notFreshEnough: message(1206, "no upstream of {0} has data proven younger than {1} ms", "Retry, or allow older data for this class."),
    floorNotApplied: message(1207, "upstream {0} has not applied entry {1} yet", "Retried by the entry VM on another upstream."),
    outcomeUnknown: message(1208, "the outcome of request {0} could not be determined in time", "Retry with the same request id; it runs at most once."),
    requestCancelled: message(1209, "request {0} was cancelled before it ran", "Retry with a new request id."),
    readOnlyClass: message(1210, "class {0} is read-only", "Use another class for writes."),
    invalidToken: message(1211, "the session token is not authentic or malformed", "Pass the last token unchanged, or none."),
    connectionLost: message(1212, "connection to upstream {0} was lost: {1}", "Retried by the owner if its outcome allows."),
    upstreamSilent: message(1213, "upstream {0} did not answer for {1} ms", "Checked by the owner on a new connection."),
    termReplaced: message(1214, "upstream {0} is not primary in term {1}", "Retried by the entry VM on the current primary."),
    transactionLost: message(1215, "transaction {0} is not open on upstream {1}", "Start the transaction again."),
    upstreamLeaving: message(1216, "upstream {0} is leaving and takes no new work", "Retried by the entry VM on another upstream."),
    timedOut: message(1217, "no answer within {0} ms", "Retry with the same request id."),
    retryBudgetSpent: message(1218, "retry budget is spent", "Retry later."),
    transactionOpen: message(1219, "a transaction is already open", "End it before starting another."),
    noTransaction: message(1220, "no transaction is open", "Start one with BEGIN."),
    ownerChanged: message(1221, "this VM does not own upstream {0}", "Retried by the entry VM with the current owner."),
    linkFailed: message(1222, "link to VM {0} failed: {1}", "Retried by the entry VM if the outcome allows."),
    noConfiguration: message(1223, "this VM has no configuration yet", "Wait until it has one, or connect to another VM."),
    connectionRefused: message(1226, "upstream {0} refuses connections", "Start the upstream's server; its group gets another primary meanwhile."),
    statementRejected: message(1224, "upstream {0} rejected the statement: {1}", "Correct the statement."),
    alreadyRan: message(1225, "request {0} already ran", "Do not send it again; read the data to see its effect."),
    floorNotConfirmed: message(
        1230,
        "the session's floor in {0} could not be confirmed in time",
        "Pass the session token, or retry once the group's primary is reachable.",
    ),
    implicitCommit: message(1231, "{0} would commit the open transaction implicitly", "End the transaction before this statement."),
    otherGroupInTransaction: message(
        1232,
        "a transaction is open on database {0}; {1} cannot take part in it",
        "End the transaction before using another database.",
    ),
    transactionAborted: message(1233, "transaction {0} was rolled back after a failure", "Send ROLLBACK, then start the transaction again."),
    positionNotConfirmed: message(1260, "the term of upstream {0} could not be confirmed", "Retried; check that a majority of the group is reachable."),
    draining: message(1261, "the owner of upstream {0} is handing it over", "Retried by the entry VM with the next owner."),
    transactionLimit: message(1262, "upstream {0} has {1} open transactions, which is its limit", "Retry later, or end transactions sooner."),
    sequenceMismatch: message(1263, "transaction {0} expected statement {1} and got {2}", "Start the transaction again."),
    noConnection: message(1264, "no connection to upstream {0} could be opened in time", "Check that the upstream is reachable and its connection limit."),
} as const;
