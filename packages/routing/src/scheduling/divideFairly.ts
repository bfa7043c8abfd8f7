/**
 * Divides an amount among demands so that each gets an equal part or its demand, whichever is smaller (max-min fairness).
 * Returns the parts in the order of the demands.
 */
export function divideFairly(demands: readonly number[], amount: number): readonly number[] {
    const parts = new Array<number>(demands.length).fill(0);
    const order = demands.map((demand, index) => ({ demand, index })).sort((first, second) => first.demand - second.demand);
    let left = amount;
    order.forEach(({ demand, index }, rank) => {
        parts[index] = Math.min(demand, left / (order.length - rank));
        left -= parts[index];
    });
    return parts;
}
