/** Chooses the entry instances that relay the rules to the others of their failure domain. */

import { rankNodes } from '../group/rendezvous.js'

/** Number of relays in each failure domain. */
const RELAYS_PER_DOMAIN = 2

export interface RelayCandidate {
  name: string
  failureDomain: string
  role: string
}

function relaysOf (failureDomain: string, names: readonly string[]): string[] {
  return rankNodes(`relay ${failureDomain}`, names).slice(0, RELAYS_PER_DOMAIN)
}

/**
 * Returns the relay that `self` gets the rules from; undefined if it asks control
 * directly, as a relay or with at most `relayThreshold` entry instances in the
 * failure domain.
 */
export function chooseRelay<Candidate extends RelayCandidate> (self: RelayCandidate, peers: readonly Candidate[], relayThreshold: number): Candidate | undefined {
  const local = peers.filter(({ role, failureDomain }) => role === 'entry' && failureDomain === self.failureDomain)
  if (local.length <= relayThreshold) return undefined
  const relays = relaysOf(self.failureDomain, local.map(({ name }) => name))
  if (relays.includes(self.name)) return undefined
  const [chosen] = rankNodes(self.name, relays)
  return local.find(({ name }) => name === chosen)
}
