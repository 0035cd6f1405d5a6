/**
 * Whether a primary has failed, from what others see of it: the entry instances
 * by their traffic, control by its own question and by announcements that stay
 * away. While any entry instance reaches it, those that can't must outnumber
 * those that can, and control has no say: so neither a cut-off entry instance
 * nor a control instance that is cut off itself causes a promotion.
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

function isFailing ({ failingFor }: ServerSighting, { failingMilliseconds }: EvidencePolicy): boolean {
  return failingFor !== undefined && failingFor >= failingMilliseconds
}

function isReaching ({ answeredAgo, failingFor }: ServerSighting, { answeredMilliseconds }: EvidencePolicy): boolean {
  return failingFor === undefined && answeredAgo !== undefined && answeredAgo <= answeredMilliseconds
}

/** `entries` are the sightings of entry instances, `control` those of control. */
export function judgePrimary (entries: readonly ServerSighting[], control: readonly ServerSighting[], policy: EvidencePolicy = DEFAULT_EVIDENCE_POLICY): PrimaryVerdict {
  const failing = entries.filter(sighting => isFailing(sighting, policy)).length
  const reaching = entries.filter(sighting => isReaching(sighting, policy)).length
  if (reaching > 0) return failing >= policy.witnesses && failing > reaching ? 'failed' : 'reachable'
  if (control.some(sighting => isReaching(sighting, policy))) return failing >= policy.witnesses ? 'failed' : 'reachable'
  const accusing = failing + control.filter(sighting => isFailing(sighting, policy)).length
  return accusing >= policy.witnesses ? 'failed' : 'unknown'
}
