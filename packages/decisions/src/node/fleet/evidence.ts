/**
 * Whether a primary has failed, from what entry instances see of it. A single
 * cut-off entry instance must not cause a promotion, nor a primary that only
 * control can't reach: the entry instances that can't reach it must outnumber
 * those that can.
 */

/** What one entry instance sees of one server. */
export interface ServerSighting {
  /** Milliseconds since it last answered; undefined: never. */
  answeredAgo?: number
  /** Milliseconds for which every try has failed; undefined: none fails. */
  failingFor?: number
}

export interface EvidencePolicy {
  /** Failure that lasts this long counts, in milliseconds: longer than one lost packet's resend. */
  failingMilliseconds: number
  /** An answer this recent speaks for the server, in milliseconds. */
  answeredMilliseconds: number
}

export const DEFAULT_EVIDENCE_POLICY: EvidencePolicy = { failingMilliseconds: 250, answeredMilliseconds: 700 }

export type PrimaryVerdict = 'reachable' | 'unknown' | 'failed'

/** Judges the sightings of all entry instances that hold a lease. */
export function judgePrimary (sightings: readonly ServerSighting[], entries: number, policy: EvidencePolicy = DEFAULT_EVIDENCE_POLICY): PrimaryVerdict {
  const failing = sightings.filter(({ failingFor }) => failingFor !== undefined && failingFor >= policy.failingMilliseconds).length
  const reaching = sightings.filter(({ answeredAgo, failingFor }) => failingFor === undefined && answeredAgo !== undefined && answeredAgo <= policy.answeredMilliseconds).length
  if (failing === 0) return reaching > 0 ? 'reachable' : 'unknown'
  if (entries > 1 && failing < 2) return 'unknown'
  return failing > reaching ? 'failed' : 'reachable'
}
