/**
 * The declaration of an operator, independent of the platform's format: routes,
 * groups of backend servers, limits and client accounts, under an increasing version.
 */

/** Which servers may answer the reads of a route. */
export type ReadPolicy = 'primary' | 'bounded staleness' | 'read your writes'

export interface Route {
  name: string
  /** Name of the database, as callers send it. */
  database: string
  /** Distinguishes routes of the same database; each pair of database and prefix is unique. */
  prefix: string
  group: string
  readPolicy: ReadPolicy
  /** Maximum age of the data that a read may see, in milliseconds; undefined if only the read policy limits it. */
  maximumStalenessMilliseconds?: number
  /** Maximum duration of a statement, in milliseconds. */
  statementMilliseconds: number
  /** Target response time of an operation, in milliseconds; later answers are less useful. @default statementMilliseconds */
  objectiveMilliseconds?: number
  /** 0 is the highest. */
  priority: number
  /** Whether callers may use the route without a key. */
  open: boolean
  /** Regions to which the route's statements are limited; undefined or empty: none. */
  allowedRegions?: string[]
}

export interface ServerGroup {
  name: string
  /** Maximum number of connections to one backend server, for all callers together. */
  connectionsPerServer: number
  /** Replicas that must hold a commit before it is acknowledged. */
  synchronousReplicas: number
  /** How long a server is slow after its start, and how many requests a second it may then receive; undefined: nothing is limited. */
  warmup?: { milliseconds: number, requestsPerSecond: number }
}

export interface ClientAccount {
  name: string
  keys: string[]
  /** Operations per second, over all instances together. */
  ratePerSecond: number
  /** Operations that may arrive at once, over all instances together. */
  burst: number
  /** Regions to which the account's statements are limited; undefined or empty: none. */
  allowedRegions?: string[]
}

export interface Declaration {
  version: number
  routes: Route[]
  groups: ServerGroup[]
  accounts: ClientAccount[]
  /** Maximum time that a transaction may wait for its next statement, in milliseconds. */
  idleTransactionMilliseconds: number
}

/** A declaration as the operator sent it, with the version that orders it. */
export interface DeclarationDocument {
  version: number
  /** The original text; reads return it unchanged. */
  text: string
}

/** Thrown if a declaration is invalid. */
export class DeclarationError extends Error {
  override name = 'DeclarationError'
}

function requireUnique (kind: string, names: readonly string[]): void {
  const duplicate = names.find((name, index) => names.indexOf(name) !== index)
  if (duplicate !== undefined) throw new DeclarationError(`${kind} ${JSON.stringify(duplicate)} stands twice: rename one or take it out`)
}

function checkRoute ({ name, group, statementMilliseconds }: Route, groups: ReadonlySet<string>): void {
  if (!groups.has(group)) throw new DeclarationError(`route ${name} names the unknown service ${group}: declare the service or change the route`)
  if (statementMilliseconds <= 0) throw new DeclarationError(`route ${name} has a timeout of ${statementMilliseconds}: give it a positive number of milliseconds`)
}

/**
 * Checks a declaration: names and keys are unique, routes name declared groups, timeouts are positive.
 *
 * @throws DeclarationError naming the first fault
 */
export function checkDeclaration ({ routes, groups, accounts }: Declaration): void {
  requireUnique('service', groups.map(({ name }) => name))
  requireUnique('route', routes.map(({ database, prefix }) => `${database} ${prefix}`))
  requireUnique('tenant', accounts.map(({ name }) => name))
  requireUnique('key', accounts.flatMap(({ keys }) => [...new Set(keys)]))
  const names = new Set(groups.map(({ name }) => name))
  for (const route of routes) checkRoute(route, names)
}

/** A declaration indexed for the lookups of requests. */
export interface DeclarationIndex {
  version: number
  routeOf: (database: string) => Route | undefined
  accountOf: (key: string) => ClientAccount | undefined
  account: (name: string) => ClientAccount | undefined
  group: (name: string) => ServerGroup | undefined
  declaration: Declaration
}

export function indexDeclaration (declaration: Declaration): DeclarationIndex {
  const routes = new Map(declaration.routes.map(route => [route.database, route]))
  const keys = new Map(declaration.accounts.flatMap(account => account.keys.map(key => [key, account] as const)))
  const accounts = new Map(declaration.accounts.map(account => [account.name, account]))
  const groups = new Map(declaration.groups.map(group => [group.name, group]))
  return {
    version: declaration.version,
    routeOf: database => routes.get(database),
    accountOf: key => keys.get(key),
    account: name => accounts.get(name),
    group: name => groups.get(name),
    declaration
  }
}
