/** Splits a list at commas outside quotes and parentheses and trims its items. */
export function splitList(text: string): readonly string[] {
    const items: string[] = [];
    let quote = "";
    let depth = 0;
    let start = 0;
    for (let index = 0; index < text.length; index++) {
        const character = text.charAt(index);
        if (quote !== "") {
            if (character === quote) quote = "";
            continue;
        }
        if (character === "'" || character === "\"" || character === "`") quote = character;
        if (character === "(") depth++;
        if (character === ")") depth--;
        if (character !== "," || depth > 0) continue;
        items.push(text.slice(start, index).trim());
        start = index + 1;
    }
    items.push(text.slice(start).trim());
    return items;
}
