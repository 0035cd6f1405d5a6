/** Which entry instances of a failure domain relay the rules to the others there. */

import { rankNodes } from '../group/rendezvous.js'

/** Relays of one failure domain. */
const RELAYS_PER_DOMAIN = 2

export interface RelayCandidate {
  name: string
  failureDomain: string
  role: string
}

function relaysOf (failureDomain: string, names: readonly string[]): string[] {
  return rankNodes(`relay ${failureDomain}`, names).slice(0, RELAYS_PER_DOMAIN)
}

/** The relay that `self` asks; undefined: it asks control itself. */
export function chooseRelay<Candidate extends RelayCandidate> (self: RelayCandidate, peers: readonly Candidate[], relayThreshold: number): Candidate | undefined {
  const local = peers.filter(({ role, failureDomain }) => role === 'entry' && failureDomain === self.failureDomain)
  if (local.length <= relayThreshold) return undefined
  const relays = relaysOf(self.failureDomain, local.map(({ name }) => name))
  if (relays.includes(self.name)) return undefined
  const [chosen] = rankNodes(self.name, relays)
  return local.find(({ name }) => name === chosen)
}
