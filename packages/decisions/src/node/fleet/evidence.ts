/**
 * Failure detection for primaries. Entry instances observe a primary through
 * their traffic; control observes it through status requests and missing
 * announcements. While any entry instance reaches the primary, the entry instances
 * that can't must outnumber those that can, and the observations of control are
 * ignored. So neither an isolated entry instance nor an isolated control instance
 * causes a promotion.
 */

/** One observer's view of one server. */
export interface ServerObservation {
  /** Milliseconds since the server last answered; undefined if it never has. */
  answeredAgo?: number
  /** Milliseconds for which every attempt to reach the server has failed; undefined if no failure is ongoing. */
  failingFor?: number
}

export interface FailureDetectionPolicy {
  /** Shortest failure that counts, in milliseconds: longer than the retransmission of one lost packet. */
  minimumFailureMilliseconds: number
  /** Maximum age at which an answer shows that the server is reachable, in milliseconds. */
  recentAnswerMilliseconds: number
  /** Minimum number of observers that must report a failure. */
  minimumObservers: number
}

export const DEFAULT_FAILURE_DETECTION_POLICY: FailureDetectionPolicy = { minimumFailureMilliseconds: 200, recentAnswerMilliseconds: 700, minimumObservers: 2 }

export type PrimaryVerdict = 'reachable' | 'unknown' | 'failed'

function isFailing ({ failingFor }: ServerObservation, { minimumFailureMilliseconds }: FailureDetectionPolicy): boolean {
  return failingFor !== undefined && failingFor >= minimumFailureMilliseconds
}

function isReachable ({ answeredAgo, failingFor }: ServerObservation, { recentAnswerMilliseconds }: FailureDetectionPolicy): boolean {
  return failingFor === undefined && answeredAgo !== undefined && answeredAgo <= recentAnswerMilliseconds
}

/** Decides whether a primary has failed, from the observations of entry instances and of control. */
export function assessPrimary (entryObservations: readonly ServerObservation[], controlObservations: readonly ServerObservation[], policy: FailureDetectionPolicy = DEFAULT_FAILURE_DETECTION_POLICY): PrimaryVerdict {
  const failing = entryObservations.filter(observation => isFailing(observation, policy)).length
  const reachable = entryObservations.filter(observation => isReachable(observation, policy)).length
  if (reachable > 0) return failing >= policy.minimumObservers && failing > reachable ? 'failed' : 'reachable'
  if (controlObservations.some(observation => isReachable(observation, policy))) return failing >= policy.minimumObservers ? 'failed' : 'reachable'
  const failingOverall = failing + controlObservations.filter(observation => isFailing(observation, policy)).length
  return failingOverall >= policy.minimumObservers ? 'failed' : 'unknown'
}
