import { GatewayAssignment } from "../cluster/gatewayAssignment";
import { OperationExecutor } from "../model/operationExecutor";

/** Selects the executor for a service: local if this VM is a gateway of the service, otherwise relayed to a gateway. */
export class ExecutorSelector {
    private constructor(
        private readonly gateways: GatewayAssignment,
        private readonly local: OperationExecutor,
        private readonly relayed: OperationExecutor,
    ) {}

    public static create(gateways: GatewayAssignment, local: OperationExecutor, relayed: OperationExecutor): ExecutorSelector {
        return new ExecutorSelector(gateways, local, relayed);
    }

    public select(service: string): OperationExecutor {
        return this.gateways.isGateway(service) ? this.local : this.relayed;
    }
}
