/** The proofs' parts, for tests. */
export {}
