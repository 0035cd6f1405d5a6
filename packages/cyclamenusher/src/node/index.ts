/** The command line's parts, for tests. */

export * from './connection.js'
export * from './errors.js'
