/** Exports of the command line for tests. */

export * from './connection.js'
export * from './errors.js'
