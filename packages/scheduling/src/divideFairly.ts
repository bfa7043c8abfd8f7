/**
 * Divides an amount among demands with max-min fairness: each demand gets at most what it asks for, and unmet demands get
 * equal parts. Returns the parts in the order of the demands.
 */
export function divideFairly(demands: readonly number[], amount: number): readonly number[] {
    const parts = new Array<number>(demands.length).fill(0);
    const order = demands.map((demand, index) => ({ demand, index })).sort((first, second) => first.demand - second.demand);
    let remaining = amount;
    order.forEach(({ demand, index }, sortedIndex) => {
        parts[index] = Math.min(demand, remaining / (order.length - sortedIndex));
        remaining -= parts[index];
    });
    return parts;
}
