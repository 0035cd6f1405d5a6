/** The daemon's parts, for tests and for the measuring tools. */

export * from './process/config.js'
export * from './process/instance.js'
