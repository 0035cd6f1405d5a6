/** Checks of what changes while callers work: leaving servers, shutdown, configurations. */

import type { Operation, Violation } from '../history.js'

/** After `milliseconds`, a leaving member gets no new work. */
export function checkLeaving (operations: readonly Operation[], member: string, leftAt: number, milliseconds: number, returnedAt: number): Violation[] {
  return operations
    .filter(operation => operation.member === member && operation.invokedAt > leftAt + milliseconds && operation.answeredAt < returnedAt)
    .map(operation => ({ problem: `${member} got new work ${Math.round(operation.invokedAt - leftAt)} ms after it said that it leaves`, operations: [operation] }))
}

export interface Shutdown {
  instance: string
  signalledAt: number
  /** @default undefined - the process still ran when the run ended */
  endedAt?: number
  exitCode?: number | null
}

/** A request that was on its way at a graceful shutdown is answered; one refused there has truly not run. */
export function checkShutdown (operations: readonly Operation[], shutdowns: readonly Shutdown[]): Violation[] {
  return shutdowns.flatMap(({ instance, signalledAt, endedAt, exitCode }) => {
    const interrupted = operations
      .filter(operation => operation.instance === instance && operation.kind !== 'connect' && operation.answeredAt >= signalledAt && operation.invokedAt <= (endedAt ?? Infinity))
      .filter(({ outcome }) => outcome === 'unknown' || outcome === 'failed')
      .map(operation => ({ problem: `a request was cut by the shutdown of ${instance} (${operation.code}: ${operation.message})`, operations: [operation] }))
    if (endedAt === undefined) return [...interrupted, { problem: `${instance} did not end`, operations: [] }]
    return exitCode === 0 ? interrupted : [...interrupted, { problem: `${instance} ended with code ${exitCode}`, operations: [] }]
  })
}

/** A configuration as seen from outside: the key that it alone admits. */
export interface ConfigurationRecord {
  number: number
  key: string
  /** When the operator heard that it is accepted. */
  acceptedAt: number
}

/** An attempt to connect with the key of one configuration. */
export interface Probe {
  instance: string
  key: string
  invokedAt: number
  answeredAt: number
  /** `unable`: refused for another reason than the key, or not reached. */
  verdict: 'admitted' | 'refused' | 'unable'
}

/**
 * Each configuration admits its own key only. An instance that admitted a key
 * never admits an earlier one afterwards; `milliseconds` after acceptance the
 * key of that configuration or a later one is in force, and no earlier one.
 */
export function checkConfigurations (probes: readonly Probe[], configurations: readonly ConfigurationRecord[], milliseconds: number): Violation[] {
  const byKey = new Map(configurations.map(configuration => [configuration.key, configuration]))
  const newestAdmitted = new Map<string, { number: number, answeredAt: number }>()
  const violations: Violation[] = []
  const addViolation = (problem: string): void => { violations.push({ problem, operations: [] }) }
  for (const probe of [...probes].sort((left, right) => left.answeredAt - right.answeredAt)) {
    const configuration = byKey.get(probe.key)
    if (configuration === undefined || probe.verdict === 'unable') continue
    const { number } = configuration
    const requiredNumber = configurations.filter(({ acceptedAt }) => acceptedAt + milliseconds < probe.invokedAt).reduce((highest, other) => Math.max(highest, other.number), 0)
    // A refusal of the newest key is late only while no later configuration can have replaced it.
    const hasLaterConfiguration = configurations.some(other => other.number > number)
    if (probe.verdict === 'refused') {
      if (number === requiredNumber && !hasLaterConfiguration) addViolation(`${probe.instance} does not have configuration ${number} in force ${Math.round(probe.invokedAt - configuration.acceptedAt)} ms after it was accepted`)
      continue
    }
    if (number < requiredNumber) addViolation(`${probe.instance} still has configuration ${number} in force though ${requiredNumber} was accepted long before`)
    const previous = newestAdmitted.get(probe.instance)
    if (previous !== undefined && number < previous.number && probe.invokedAt > previous.answeredAt) addViolation(`${probe.instance} went back from configuration ${previous.number} to ${number}`)
    if (previous === undefined || number > previous.number) newestAdmitted.set(probe.instance, { number, answeredAt: probe.answeredAt })
  }
  return violations
}

export interface Submission {
  number: number
  content: string
  outcome: 'accepted' | 'conflict' | 'unknown' | 'refused'
}

/** One content alone is ever accepted under a number. */
export function checkSubmissions (submissions: readonly Submission[]): Violation[] {
  const acceptedContents = new Map<number, string>()
  return submissions.filter(({ outcome }) => outcome === 'accepted').flatMap(({ number, content }) => {
    const acceptedContent = acceptedContents.get(number) ?? content
    acceptedContents.set(number, acceptedContent)
    return acceptedContent === content ? [] : [{ problem: `configuration ${number} was accepted with two contents`, operations: [] }]
  })
}
