/** Parts of the daemon that tests and measuring tools use. */

export * from './process/config.js'
export * from './process/instance.js'
