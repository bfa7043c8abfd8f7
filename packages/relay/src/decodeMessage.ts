import * as z from "zod";

/** Decodes one line; undefined if it does not match the schema. The receiver then closes the connection, and a gateway also logs the fault. */
export function decodeMessage<T>(schema: z.ZodType<T>, line: string): T | undefined {
    let value: unknown;
    try {
        value = JSON.parse(line);
    }
    catch {
        return undefined;
    }
    const decoded = schema.safeParse(value);
    return decoded.success ? decoded.data : undefined;
}
