/** Explains where an operation would go from this instance, by the decisions that a real one takes. Takes no token and changes nothing. */

import { combineRegions, decideAccess, isAllowedHere } from '@cyclamenusher/decisions'
import { isLeaseOverdue } from './confirmation.js'
import { findAccountByDigest } from './keyDigest.js'
import { accountName } from './session.js'
import type { ClientAccount, DeclarationIndex, ExplanationRefusal, ExplanationReply, ExplanationRequest, HolderSelection, OperationExplanation, PlacementExplanation, RateExplanation, Route } from '@cyclamenusher/decisions'
import type { ForwardingRunner } from './forwarding/forwarding.js'
import type { ExplainedOperation } from './groupPool.js'
import type { EngineServices } from './services.js'

export interface ExplanationServices extends Pick<EngineServices, 'link' | 'regions' | 'clock' | 'rates' | 'isDraining'> {
  explainHolders: ForwardingRunner['explain']
  explainPlacement: (group: string, operation: ExplainedOperation) => PlacementExplanation
}

function refuse (reason: ExplanationRefusal, explanation: string): ExplanationReply {
  return { kind: 'refused', reason, explanation }
}

function findAccount (index: DeclarationIndex, { account, keyDigest }: ExplanationRequest): ClientAccount | undefined {
  if (account !== undefined) return index.account(account)
  return keyDigest === undefined ? undefined : findAccountByDigest(index, keyDigest)
}

function describeRoute ({ name, prefix, group, readPolicy, maximumStalenessMilliseconds, priority, statementMilliseconds }: Route): OperationExplanation['route'] {
  return { name, prefix, group, readPolicy, ...(maximumStalenessMilliseconds === undefined ? {} : { maximumStalenessMilliseconds }), priority, statementMilliseconds }
}

/** What a refusal before the selection of a server depends on. */
interface RefusalFacts {
  request: ExplanationRequest
  account: ClientAccount | undefined
  allowedRegions: readonly string[] | undefined
  rate: RateExplanation | undefined
  selection: HolderSelection
}

/** Why the operation is refused before a server is selected. Undefined: it is not. */
function findRefusal ({ link, regions, clock, isDraining }: ExplanationServices, { request, account, allowedRegions, rate, selection }: RefusalFacts): string | undefined {
  if (rate?.source === 'none') return `client account ${account?.name ?? ''} is over its rate here, and there was nothing to borrow a moment ago`
  if (request.asHolder === true && isDraining()) return 'the instance is shutting down and takes no operations of other instances'
  if (request.asHolder === true && !isAllowedHere(allowedRegions, regions)) return 'the instance lies outside the regions of the operation'
  if (request.asHolder !== true && request.kind === 'write' && isLeaseOverdue(link, clock)) return 'the instance has no word from control and could not acknowledge a commit'
  if (selection.kind === 'run here' && !link.isDeclarationCurrent() && !link.isDeclarationTrusted()) return 'the instance has no word from control and may not hold the newest declaration'
  return undefined
}

export function explainOperation (services: ExplanationServices, request: ExplanationRequest): ExplanationReply {
  const { link, clock, rates, explainHolders, explainPlacement } = services
  const { database, kind, asHolder = false } = request
  const index = link.declaration()
  if (index === undefined) return refuse('no declaration', `instance ${link.name} holds no declaration yet`)
  const account = findAccount(index, request)
  if (index.routeOf(database) !== undefined && request.account !== undefined && account === undefined) return refuse('account unknown', `there is no client account ${request.account}`)
  const decision = decideAccess(index, database, account)
  if (decision.kind === 'refused') return refuse(decision.reason, decision.explanation)
  const { route } = decision
  const allowedRegions = combineRegions(route, account)
  const operation = { route, account: accountName(account), ...(allowedRegions === undefined ? {} : { allowedRegions }) }
  const { holders, selection }: ReturnType<ExplanationServices['explainHolders']> = asHolder ? { holders: [], selection: { kind: 'run here' } } : explainHolders(operation, kind === 'read' ? 'read' : 'write')
  const rate = asHolder || account === undefined ? undefined : rates.explain(account)
  const refusal = findRefusal(services, { request, account, allowedRegions, rate, selection })
  const now = clock.now()
  const deadline = now + route.statementMilliseconds
  const placement = selection.kind !== 'run here'
    ? undefined
    : explainPlacement(route.group, {
      account: operation.account,
      priority: route.priority,
      objective: now + (route.objectiveMilliseconds ?? route.statementMilliseconds),
      deadline,
      allowedRegions,
      beginsTransaction: kind === 'begin',
      ...(kind === 'read' ? { read: { policy: route.readPolicy, maximumStalenessMilliseconds: route.maximumStalenessMilliseconds, ...(request.position === undefined ? {} : { session: { position: request.position, at: now } }) } } : {})
    })
  return {
    kind: 'explained',
    explanation: {
      instance: link.name,
      version: index.version,
      isCurrent: link.isDeclarationCurrent(),
      database,
      kind,
      route: describeRoute(route),
      ...(account === undefined ? {} : { account: account.name }),
      ...(allowedRegions === undefined ? {} : { allowedRegions }),
      ...(rate === undefined ? {} : { rate }),
      holders,
      selection,
      ...(refusal === undefined ? {} : { refusal }),
      ...(placement === undefined ? {} : { placement })
    }
  }
}
