import { formatMetrics } from "@vanillarouter/base/formatMetrics";
import { HttpTimeouts } from "@vanillarouter/base/httpTimeouts";
import { MetricFamily } from "@vanillarouter/base/metricFamily";
import { createServer, Server } from "node:http";

const contentType = "text/plain; version=0.0.4";

/** Creates the HTTP server for metrics in the Prometheus text format. */
export function createMetricsServer(collect: () => readonly MetricFamily[]): Server {
    return createServer(HttpTimeouts, (req, res) => {
        if (req.url !== "/metrics") {
            res.writeHead(404).end();
            return;
        }
        res.writeHead(200, { "Content-Type": contentType }).end(formatMetrics(collect()));
    });
}
