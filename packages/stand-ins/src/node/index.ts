/** Stand-ins for the systems outside: backend servers, their announcer, the balancer, links. */

export * from './announcer/announcer.js'
export * from './backend/administration.js'
export * from './backend/connection.js'
export * from './backend/log.js'
export * from './backend/server.js'
export * from './backend/store.js'
export * from './utils.js'
export * from './fleet/deployment.js'
export * from './fleet/fleet.js'
export * from './fleet/network.js'
export * from './balancer/balancer.js'
export * from './link/link.js'
