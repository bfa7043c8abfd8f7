import { PreparedStatement } from "../entry/preparedStatement";

/** A statement as a fake upstream decodes it from its text and the prepared statements of its connection. */
export class FakeStatement {
    private constructor(
        public readonly text: string,
        private readonly keyword: string,
        /** Definition of the prepared statement that is executed; undefined for other statements. */
        public readonly prepared: PreparedStatement | undefined,
        public readonly item: string,
        public readonly value: string,
    ) {}

    /** `preparedName` is the upstream's name for the prepared statement, if the text has another one. */
    public static create(text: string, preparedStatements: ReadonlyMap<string, PreparedStatement>, preparedName?: string): FakeStatement {
        const [keyword = "", ...fields] = text.split(" ");
        const name = keyword === "EXEC" ? fields.shift() : undefined;
        const prepared = name === undefined ? undefined : preparedStatements.get(preparedName ?? name);
        const [item = "", ...value] = fields;
        return new FakeStatement(text, keyword, prepared, item, value.join(" "));
    }

    /** Whether it executes a statement that the connection has not prepared. */
    public get isUnknown(): boolean {
        return this.keyword === "EXEC" && this.prepared === undefined;
    }

    public get isRead(): boolean {
        return this.keyword === "READ" || this.prepared?.readOnly === true;
    }

    public get isWrite(): boolean {
        return this.keyword === "WRITE" || this.prepared?.readOnly === false;
    }

    public get isCommit(): boolean {
        return this.text === "COMMIT";
    }
}
