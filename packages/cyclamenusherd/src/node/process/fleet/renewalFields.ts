/**
 * Reads a renewal that an entry instance sent. A renewal that does not say who asks and what
 * it knows is refused. Of its reports, a value that can't be used is left out, and the
 * instance keeps its lease: what one account or server is said to do must not end the
 * service of all others.
 */

import { isPort } from '@cyclamenusher/decisions'
import { checkFields, hasFields, isFlag, isListOf, isNumber, isObject, isOptional, isText, quoteValue } from '../messageFields.js'
import type { LoanReport, RenewRequest } from '@cyclamenusher/decisions'
import type { ScopedLogger } from '../logger.js'
import type { FieldCheck, Fields } from '../messageFields.js'

/** Number of instances whose last faults are remembered, so that each is logged once. */
const MAXIMUM_REMEMBERED = 10_000

const REQUIRED_FIELDS: Record<string, FieldCheck> = {
  name: isText,
  incarnation: isText,
  failureDomain: isText,
  knows: hasFields({ term: isNumber, change: isNumber }),
  version: isNumber,
  busy: isListOf(isText),
  demand: isObject,
  sightings: isObject,
  servers: isOptional(Array.isArray),
  parts: isOptional(isObject),
  lendsAt: isOptional(hasFields({ host: isText, port: isPort })),
  holds: isOptional(isFlag),
  doubted: isOptional(isObject),
  holdMilliseconds: isNumber
}

const isAmount: FieldCheck = value => isNumber(value) && Number(value) >= 0
const isShare: FieldCheck = value => isAmount(value) && Number(value) <= 1
const isObservation = hasFields({ answeredAgo: isOptional(isNumber), failingFor: isOptional(isNumber) })
const isLoan = hasFields({ account: isText, operations: isAmount, ago: isAmount })

/** What an instance may hold of an account if its report can't be read: all of it. */
const UNKNOWN_SHARE = 1

export interface ReadRenewal {
  request: RenewRequest
  /** Values that were left out, each with its place. */
  faults: string[]
}

/** @throws Error that names the field and its value if the renewal does not say who asks and what it knows */
export function readRenewal (value: unknown): ReadRenewal {
  const received = checkFields<RenewRequest>('renewal', value, REQUIRED_FIELDS)
  const faults: string[] = []

  /** The entries of a report that can be used. */
  function readEntries<Entry> (field: 'demand' | 'sightings' | 'parts' | 'doubted', check: FieldCheck, replacement?: Entry): Record<string, Entry> {
    return Object.fromEntries(Object.entries(received[field] as Fields).flatMap(([name, entry]): Array<[string, Entry]> => {
      if (check(entry)) return [[name, entry as Entry]]
      faults.push(`${field} of ${quoteValue(name)}: ${quoteValue(entry)}`)
      return replacement === undefined ? [] : [[name, replacement]]
    }))
  }

  /** Loans are complete only as far back as each of them is known. */
  function readLoans (): LoanReport {
    const loans: unknown = received.loans
    const isReadable = hasFields({ completeFor: isAmount, loans: isListOf(isLoan) })(loans)
    if (!isReadable) faults.push(`loans: ${quoteValue(loans)}`)
    return isReadable ? loans as LoanReport : { completeFor: 0, loans: [] }
  }

  /** What can't be read counts as the longest use. */
  function readShareUse (): number | undefined {
    const use: unknown = received.shareMilliseconds
    if (use === undefined || isAmount(use)) return received.shareMilliseconds
    faults.push(`shareMilliseconds: ${quoteValue(use)}`)
    return undefined
  }

  const request: RenewRequest = {
    ...received,
    demand: readEntries<number>('demand', isAmount),
    sightings: readEntries('sightings', isObservation),
    ...(received.parts === undefined ? {} : { parts: readEntries<number>('parts', isShare, UNKNOWN_SHARE) }),
    ...(received.doubted === undefined ? {} : { doubted: readEntries<number>('doubted', isAmount, 0) }),
    ...(received.loans === undefined ? {} : { loans: readLoans() }),
    shareMilliseconds: readShareUse()
  }
  return { request, faults }
}

/** Returns a reader that logs what it leaves out, once until it changes. */
export function createRenewalReader (logger: ScopedLogger): (value: unknown) => RenewRequest {
  const logged = new Map<string, string>()
  return value => {
    const { request, faults } = readRenewal(value)
    const values = faults.join(', ')
    if (values === '') {
      logged.delete(request.name)
    } else if (logged.get(request.name) !== values) {
      if (logged.size >= MAXIMUM_REMEMBERED) logged.clear()
      logged.set(request.name, values)
      logger.warn('An entry instance reports values that can\'t be used.', { name: request.name, values })
    }
    return request
  }
}
