/**
 * What operators declare, in the product's own words: routes, groups of backend
 * servers, limits and client accounts, under one rising version.
 */

/** Which servers may answer the reads of a route. */
export type ReadPolicy = 'primary' | 'bounded staleness' | 'read your writes'

export interface Route {
  name: string
  /** Name of the database as callers give it. */
  database: string
  /** Routes of one database are told apart by this; no two may share both. */
  prefix: string
  group: string
  readPolicy: ReadPolicy
  /** Oldest data that a read may see, in milliseconds; undefined: no bound beside the policy's own. */
  maximumStalenessMilliseconds?: number
  /** Time that one statement may take, in milliseconds. */
  statementMilliseconds: number
  /** Time within which an operation is to be answered, in milliseconds; a later answer is worth less. @default statementMilliseconds */
  objectiveMilliseconds?: number
  /** 0 is the highest. */
  priority: number
  /** Whether callers need no key. */
  open: boolean
}

export interface ServerGroup {
  name: string
  /** Connections that one backend server takes, from all callers together. */
  connectionsPerServer: number
  /** Replicas that must hold a commit before it is acknowledged. */
  synchronousReplicas: number
}

export interface ClientAccount {
  name: string
  keys: string[]
  /** Operations a second over all instances. */
  ratePerSecond: number
  /** Operations at once over all instances. */
  burst: number
}

export interface Declaration {
  version: number
  routes: Route[]
  groups: ServerGroup[]
  accounts: ClientAccount[]
  /** Time that a transaction may wait for its next statement, in milliseconds. */
  idleTransactionMilliseconds: number
}

/** A declaration as it was sent, with the version that orders it. */
export interface DeclarationDocument {
  version: number
  /** The text as the operator sent it; read back unchanged. */
  text: string
}

/** What is wrong with a declaration. */
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
 * Checks what the parts of a declaration say of each other.
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

/** A declaration as requests look things up in it. */
export interface DeclarationIndex {
  version: number
  routeOf: (database: string) => Route | undefined
  accountOf: (key: string) => ClientAccount | undefined
  group: (name: string) => ServerGroup | undefined
  declaration: Declaration
}

export function indexDeclaration (declaration: Declaration): DeclarationIndex {
  const routes = new Map(declaration.routes.map(route => [route.database, route]))
  const keys = new Map(declaration.accounts.flatMap(account => account.keys.map(key => [key, account] as const)))
  const groups = new Map(declaration.groups.map(group => [group.name, group]))
  return {
    version: declaration.version,
    routeOf: database => routes.get(database),
    accountOf: key => keys.get(key),
    group: name => groups.get(name),
    declaration
  }
}
