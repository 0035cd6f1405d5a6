/** Calls of operators to an entry instance: explain where a statement would run, and drain a server or the instance. */

import { SessionTokenError, dataAge, decodeToken, hasVote } from '@cyclamenusher/decisions'
import { FRONTEND, OperatorService, buildFrame } from '@cyclamenusher/protocol'
import { determineNeed, readSimpleQuery } from '../request/batch.js'
import { RefusalError } from '../request/refusal.js'
import type { ConnectRouter } from '@connectrpc/connect'
import type { DrainRequest, ExplainRequest } from '@cyclamenusher/protocol'
import type { GroupView, RouteDecision } from '@cyclamenusher/decisions'
import type { BatchNeed } from '../request/batch.js'
import type { RulesStore } from '../version/rulesStore.js'
import type { Clock } from './clock.js'
import type { ScopedLogger } from './logger.js'
import type { Router } from './router.js'

export interface OperatorServiceOptions {
  store: RulesStore
  router: Router
  tokenSecret: string
  clock: Clock
  logger: ScopedLogger
  /** Stops the instance as SIGTERM does. */
  requestStop: () => void
}

/** Answer to an `explain` call; sent as JSON. */
export interface Explanation {
  group?: string
  need?: BatchNeed
  outcome: 'routed' | 'waits' | 'refused' | 'answered here'
  reason: string
  hint?: string
  member?: string
  term?: number
  members?: Array<Record<string, string | number | boolean | null>>
}

function describeMembers (view: GroupView, now: number): Explanation['members'] {
  return [...view.members.values()].map(member => {
    const { status, reachable } = member
    const age = dataAge(view, member, now)
    return {
      member: status.member,
      role: status.role,
      reachable,
      votes: hasVote(member),
      leaving: status.leaving,
      adoptedTerm: status.adoptedTerm,
      applied: `${status.appliedTerm}/${status.appliedPosition}`,
      ageMilliseconds: Number.isFinite(age) ? Math.round(age) : null
    }
  })
}

/** Checks access as for a caller of this account. @throws RefusalError */
function checkAccess (store: RulesStore, account: string, database: string, need: BatchNeed): void {
  if (account === '') {
    if (store.open(database) === undefined) throw new RefusalError('access denied', `database ${database} is not open to all`, 'not run', 'Connect with an account and its key.')
    if (need !== 'read') throw new RefusalError('access denied', 'only reads are open to all', 'not run', 'Connect with an account and its key.')
    return
  }
  if (!store.isFresh()) throw new RefusalError('rules not fresh', 'this instance can\'t tell whether keys still stand', 'not run', 'Ask an instance in another failure domain.')
  if (!store.rules().accounts.has(account)) throw new RefusalError('account unknown', `client account ${account} is unknown`, 'not run', 'Name an account of the rules.')
  const access = store.access(account, database)
  if (access === undefined) throw new RefusalError('access denied', `client account ${account} may not reach database ${database}`, 'not run', 'Ask the operators for an access rule.')
  if (need === 'write' && !access.write) throw new RefusalError('access denied', `client account ${account} may only read database ${database}`, 'not run', 'Ask the operators for write access.')
}

function explainDecision (decision: RouteDecision, waitsForPosition: boolean): Pick<Explanation, 'outcome' | 'reason' | 'member' | 'term'> {
  if (decision.kind === 'none') return { outcome: 'waits', reason: decision.reason }
  const prefix = waitsForPosition ? 'without a session token the position of the group is first confirmed by a majority; then: ' : ''
  return { outcome: 'routed', reason: `${prefix}${decision.reason}`, member: decision.member, term: decision.term }
}

export function createOperatorService (options: OperatorServiceOptions): (connect: ConnectRouter) => void {
  const { store, router, tokenSecret, clock, logger } = options

  function explainOrRefuse ({ account, database, statement, sessionToken }: ExplainRequest): Explanation {
    const rule = store.rules().databases.get(database)
    if (rule === undefined) throw new RefusalError('database unknown', `database ${database} is unknown`, 'not run', 'Name a database of the rules.')
    const frame = { type: FRONTEND.query, bytes: buildFrame(FRONTEND.query, Buffer.from(`${statement}\0`, 'utf8')) }
    const need = determineNeed(readSimpleQuery(frame))
    const { group } = rule
    if (need !== 'read' && need !== 'write') return { group, need, outcome: 'answered here', reason: 'the statement concerns the session alone' }
    checkAccess(store, account, database, need)
    const token = decodeToken(sessionToken, tokenSecret).get(group)
    const identity = account === '' ? { account: 'open' } : { account, key: 'operator' }
    const decision = router.explain({ identity, database, group, need, position: token })
    const waitsForPosition = need === 'read' && token === undefined && account !== ''
    return { group, need, ...explainDecision(decision, waitsForPosition), members: describeMembers(router.view(group), clock.now()) }
  }

  function explain (request: ExplainRequest): { decision: string } {
    try {
      return { decision: JSON.stringify(explainOrRefuse(request)) }
    } catch (error) {
      const isExpected = error instanceof RefusalError || error instanceof SessionTokenError
      if (!isExpected) throw error
      const explanation: Explanation = { outcome: 'refused', reason: error.message, hint: error instanceof RefusalError ? error.hint : undefined }
      return { decision: JSON.stringify(explanation) }
    }
  }

  async function drain ({ group, member }: DrainRequest): Promise<{ message: string }> {
    if (group === '' && member === '') {
      logger.info('An operator drains this instance.')
      setImmediate(options.requestStop)
      return { message: 'the instance takes no new connections, ends what runs, and stops' }
    }
    if (group === '' || member === '') return { message: 'nothing was done: name both the group and the member, or neither for the instance itself' }
    try {
      await router.setLeaving(group, member, true)
    } catch (error) {
      return { message: `nothing was done: ${member} of ${group} can't be asked to leave (${(error as Error).message}); drain it through an instance that reaches it` }
    }
    logger.info('An operator drains a backend server.', { group, member })
    return { message: `${member} of ${group} is leaving: it gets no new transactions, and a primary hands over` }
  }

  return connect => { connect.service(OperatorService, { explain, drain }) }
}
