/** Returns the least-squares slope of y over x. */
export function fitSlope(points: readonly (readonly [x: number, y: number])[]): number {
    const meanX = points.reduce((sum, [x]) => sum + x, 0) / points.length;
    const meanY = points.reduce((sum, [, y]) => sum + y, 0) / points.length;
    const covariance = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
    const variance = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
    return variance === 0 ? 0 : covariance / variance;
}
