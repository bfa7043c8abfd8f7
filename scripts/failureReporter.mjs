/** Reporter for `node --test` that writes the name of every failed test, one JSON string a line. */
export default async function* reportFailures(source) {
    for await (const event of source) {
        if (event.type === "test:fail" && event.data.todo === undefined && event.data.details?.error?.failureType !== "subtestsFailed") {
            yield JSON.stringify(event.data.name) + "\n";
        }
    }
}
