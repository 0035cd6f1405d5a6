/**
 * Whether a primary has failed, from what others see of it: the entry instances
 * by their traffic, control by its own question and by announcements that stay
 * away. One witness alone never decides, and those that can't reach it must
 * outnumber those that can: so neither a cut-off entry instance nor a primary
 * that only control can't reach causes a promotion.
 */

/** What one witness sees of one server. */
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
  /** Witnesses needed at least. */
  witnesses: number
}

export const DEFAULT_EVIDENCE_POLICY: EvidencePolicy = { failingMilliseconds: 200, answeredMilliseconds: 700, witnesses: 2 }

export type PrimaryVerdict = 'reachable' | 'unknown' | 'failed'

export function judgePrimary (sightings: readonly ServerSighting[], policy: EvidencePolicy = DEFAULT_EVIDENCE_POLICY): PrimaryVerdict {
  const failing = sightings.filter(({ failingFor }) => failingFor !== undefined && failingFor >= policy.failingMilliseconds).length
  const reaching = sightings.filter(({ answeredAgo, failingFor }) => failingFor === undefined && answeredAgo !== undefined && answeredAgo <= policy.answeredMilliseconds).length
  if (failing >= policy.witnesses && failing > reaching) return 'failed'
  return reaching > 0 ? 'reachable' : 'unknown'
}
