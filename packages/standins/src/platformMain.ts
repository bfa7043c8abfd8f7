import { SystemClock } from "@vanillarouter/base/systemClock";
import { cac } from "cac";
import { PlatformServer } from "./platformServer";

async function serve(options: { readonly host: string; readonly port: number; readonly writes: number; readonly reads: number; }): Promise<void> {
    const server = PlatformServer.create({
        clock: SystemClock.create(),
        host: options.host,
        port: options.port,
        writesPerSecond: options.writes,
        readsPerSecond: options.reads,
    });
    const port = await server.listen();
    process.stdout.write(`ready platform=${options.host}:${port}\n`);
    const stop = (): void => void server.close().then(() => process.exit(0));
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
}

const program = cac("vr-platform");
program.command("", "Stand-in for the platform's store and VM list")
    .option("--host <address>", "Address to listen on", { default: "127.0.0.1" })
    .option("--port <number>", "Port to listen on; 0 lets the system choose", { default: 0 })
    .option("--writes <number>", "Maximum number of writes per second", { default: 400 })
    .option("--reads <number>", "Maximum number of reads and watches per second", { default: 2000 })
    .action(options =>
        serve(options).catch((err: unknown) => {
            process.stderr.write(`vr-platform: ${String(err)}\n`);
            process.exit(1);
        })
    );
program.help();
program.version("0.1.0");
try {
    program.parse();
}
catch (err) {
    process.stderr.write(`vr-platform: ${err instanceof Error ? err.message : String(err)}\n`);
    process.exit(2);
}
