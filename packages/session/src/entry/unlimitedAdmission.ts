import { Operation } from "@vanillarouter/base/operation";
import { Admission } from "../model/admission";
import { AdmissionControl } from "../model/admissionControl";

/** Admits every operation. Used where no tenant has a quota. */
export class UnlimitedAdmission implements AdmissionControl {
    private constructor() {}

    public static create(): UnlimitedAdmission {
        return new UnlimitedAdmission();
    }

    public *admit(): Operation<Admission> {
        return { isAdmitted: true, retryDelayMs: 0 };
    }
}
