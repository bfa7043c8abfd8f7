import { PortReservations } from "@vanillarouter/standins/portReservations";
import { ChildProcess, spawn } from "node:child_process";
import { once } from "node:events";
import { closeSync, openSync, writeFileSync } from "node:fs";
import { join } from "node:path";

const host = "127.0.0.1";
const program = join(__dirname, "..", "..", "..", "..", "platform", "dist", "main.js");
const graceSeconds = 2;

/** A VM of the soak test: a process of the production program that is restarted whenever it exits. */
export class SoakVm {
    private child: ChildProcess | undefined;
    private restartsOnExit = true;
    private readonly killOnParentExit = (): void => this.signal("SIGKILL");

    private constructor(public readonly id: string, public readonly callerAddress: string, private readonly folder: string) {}

    /** Writes the settings of a VM that connects to the store at `storeAddress`, and starts the VM. */
    public static async create(id: string, zone: string, storeAddress: string, folder: string, ports: PortReservations): Promise<SoakVm> {
        const [callerPort, relayPort, readinessPort, metricsPort] = [
            await ports.reserve(),
            await ports.reserve(),
            await ports.reserve(),
            await ports.reserve(),
        ];
        const vm = new SoakVm(id, `${host}:${callerPort}`, folder);
        writeFileSync(
            vm.settingsFile,
            JSON.stringify({
                vm: { id, zone },
                callers: vm.callerAddress,
                relay: `${host}:${relayPort}`,
                readiness: `${host}:${readinessPort}`,
                store: { address: storeAddress },
                promotion: { address: storeAddress },
                shutdown: { graceSeconds },
                metrics: { host, port: metricsPort },
            }),
        );
        vm.start();
        process.once("exit", vm.killOnParentExit);
        return vm;
    }

    /** File that receives the output of the process. */
    public get logFile(): string {
        return join(this.folder, `${this.id}.log`);
    }

    /** Sends a signal to the VM's process. If the process exits, it is restarted. */
    public signal(signal: NodeJS.Signals): void {
        this.child?.kill(signal);
    }

    /** Kills the process without restarting it and waits until it has exited. */
    public async close(): Promise<void> {
        this.restartsOnExit = false;
        process.off("exit", this.killOnParentExit);
        const child = this.child;
        if (child === undefined || child.exitCode !== null || child.signalCode !== null) return;
        child.kill("SIGKILL");
        await once(child, "exit");
    }

    private get settingsFile(): string {
        return join(this.folder, `${this.id}.json`);
    }

    private start(): void {
        const logFd = openSync(this.logFile, "a");
        const child = spawn(process.execPath, [program, this.settingsFile], { stdio: ["ignore", logFd, logFd] });
        closeSync(logFd);
        this.child = child;
        child.on("exit", () => {
            if (this.restartsOnExit && this.child === child) this.start();
        });
    }
}
