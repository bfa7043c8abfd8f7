import { Diagnostics as BaseDiagnostics } from "@vanillarouter/base/diagnostics";
import { Failure } from "@vanillarouter/base/failure";
import { Diagnostics as PlatformDiagnostics } from "@vanillarouter/platform/diagnostics";
import { ApiResponse } from "./apiResponse";
import { Diagnostics } from "./diagnostics";

const internalErrorStatus = 500;
const httpStatusByCode: ReadonlyMap<number, number> = new Map([
    [BaseDiagnostics.internalError.code, internalErrorStatus],
    [Diagnostics.notAuthorized.code, 401],
    [Diagnostics.routeNotFound.code, 404],
    [Diagnostics.methodNotAllowed.code, 405],
    [Diagnostics.bodyTooLarge.code, 413],
    [Diagnostics.requestInvalid.code, 400],
    [Diagnostics.noConfiguration.code, 503],
    [Diagnostics.itemNotFound.code, 404],
    [PlatformDiagnostics.configurationInvalid.code, 422],
    [PlatformDiagnostics.shardTooLarge.code, 422],
    [PlatformDiagnostics.unknownAccountClass.code, 422],
    [PlatformDiagnostics.emptyChange.code, 422],
    [PlatformDiagnostics.configurationConflict.code, 409],
    [PlatformDiagnostics.storeUnreachable.code, 503],
    [PlatformDiagnostics.storeRefused.code, 503],
    [PlatformDiagnostics.callLimitReached.code, 503],
    [PlatformDiagnostics.changeOutcomeUnknown.code, 504],
]);

/** Creates the response for a failure: an HTTP status, and a body with the result code and details. */
export function createErrorResponse(failure: Failure): ApiResponse {
    const { code, message, outcome, details } = failure;
    return { status: httpStatusByCode.get(code) ?? internalErrorStatus, body: { error: { code, message, outcome, details } } };
}
