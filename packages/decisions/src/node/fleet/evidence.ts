/**
 * Whether a primary has failed, from what others see of it: the entry instances
 * by their traffic, control by its own question and by announcements that stay
 * away. While any entry instance reaches it, those that can't must outnumber
 * those that can, and control has no say: so neither a cut-off entry instance
 * nor a control instance that is cut off itself causes a promotion.
 */

/** What one witness sees of one server. */
export interface ServerObservation {
  /** Milliseconds since it last answered; undefined: never. */
  answeredAgo?: number
  /** Milliseconds for which every try has failed; undefined: none fails. */
  failingFor?: number
}

export interface FailureDetectionPolicy {
  /** Failure that lasts this long counts, in milliseconds: longer than one lost packet's resend. */
  minimumFailureMilliseconds: number
  /** An answer this recent speaks for the server, in milliseconds. */
  recentAnswerMilliseconds: number
  /** Witnesses needed at least. */
  minimumObservers: number
}

export const DEFAULT_FAILURE_DETECTION_POLICY: FailureDetectionPolicy = { minimumFailureMilliseconds: 200, recentAnswerMilliseconds: 700, minimumObservers: 2 }

export type PrimaryVerdict = 'reachable' | 'unknown' | 'failed'

function isFailing ({ failingFor }: ServerObservation, { minimumFailureMilliseconds: failingMilliseconds }: FailureDetectionPolicy): boolean {
  return failingFor !== undefined && failingFor >= failingMilliseconds
}

function isReachable ({ answeredAgo, failingFor }: ServerObservation, { recentAnswerMilliseconds: answeredMilliseconds }: FailureDetectionPolicy): boolean {
  return failingFor === undefined && answeredAgo !== undefined && answeredAgo <= answeredMilliseconds
}

/** `entries` are the sightings of entry instances, `control` those of control. */
export function assessPrimary (entryObservations: readonly ServerObservation[], controlObservations: readonly ServerObservation[], policy: FailureDetectionPolicy = DEFAULT_FAILURE_DETECTION_POLICY): PrimaryVerdict {
  const failing = entryObservations.filter(sighting => isFailing(sighting, policy)).length
  const reachable = entryObservations.filter(sighting => isReachable(sighting, policy)).length
  if (reachable > 0) return failing >= policy.minimumObservers && failing > reachable ? 'failed' : 'reachable'
  if (controlObservations.some(sighting => isReachable(sighting, policy))) return failing >= policy.minimumObservers ? 'failed' : 'reachable'
  const failingOverall = failing + controlObservations.filter(sighting => isFailing(sighting, policy)).length
  return failingOverall >= policy.minimumObservers ? 'failed' : 'unknown'
}
