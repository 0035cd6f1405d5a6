/** Checks of changes under load: leaving servers, shutdowns and configurations. */

import type { Operation, Violation } from '../history.js'

/** A leaving member gets no new work from `milliseconds` after it reported that it leaves until it returns. */
export function checkLeaving (operations: readonly Operation[], member: string, leftAt: number, milliseconds: number, returnedAt: number): Violation[] {
  return operations
    .filter(operation => operation.member === member && operation.invokedAt > leftAt + milliseconds && operation.answeredAt < returnedAt)
    .map(operation => ({ problem: `${member} got new work ${Math.round(operation.invokedAt - leftAt)} ms after it reported that it leaves`, operations: [operation] }))
}

export interface Shutdown {
  instance: string
  signalledAt: number
  /** @default undefined - the process was still running at the end of the run */
  endedAt?: number
  exitCode?: number | null
}

/** A graceful shutdown interrupts no request and ends with code 0; a request may be refused as not run. */
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

/** A configuration, identified by the key that only this configuration admits. */
export interface ConfigurationRecord {
  number: number
  key: string
  /** When the operator received the acceptance. */
  acceptedAt: number
}

/** An attempt to connect with the key of one configuration. */
export interface Probe {
  instance: string
  key: string
  invokedAt: number
  answeredAt: number
  /** `unable`: refused for another reason than the key, or the instance was not reached. */
  verdict: 'admitted' | 'refused' | 'unable'
}

/**
 * Checks which configuration each instance has in force; each configuration admits
 * only its own key. An instance that admitted a key never admits an earlier one
 * afterwards. From `milliseconds` after a configuration was accepted, it or a later
 * one is in force, and no earlier one.
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
    // A refusal shows a late configuration only if no later one can have replaced it.
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

/** At most one content is accepted under each number. */
export function checkSubmissions (submissions: readonly Submission[]): Violation[] {
  const acceptedContents = new Map<number, string>()
  return submissions.filter(({ outcome }) => outcome === 'accepted').flatMap(({ number, content }) => {
    const acceptedContent = acceptedContents.get(number) ?? content
    acceptedContents.set(number, acceptedContent)
    return acceptedContent === content ? [] : [{ problem: `configuration ${number} was accepted with two contents`, operations: [] }]
  })
}
