/** Which entry instances of a failure domain relay the rules to the others there. */

import { rankNodes } from '../group/rendezvous.js'

/** Relays of one failure domain. */
const RELAYS = 2

export interface RelayCandidate {
  name: string
  failureDomain: string
  role: string
}

function relaysOf (failureDomain: string, names: readonly string[]): string[] {
  return rankNodes(`relay ${failureDomain}`, names).slice(0, RELAYS)
}

/** The relay that `self` asks; undefined: it asks control itself. */
export function chooseRelay<Candidate extends RelayCandidate> (self: RelayCandidate, peers: readonly Candidate[], above: number): Candidate | undefined {
  const local = peers.filter(({ role, failureDomain }) => role === 'entry' && failureDomain === self.failureDomain)
  if (local.length <= above) return undefined
  const relays = relaysOf(self.failureDomain, local.map(({ name }) => name))
  if (relays.includes(self.name)) return undefined
  const [chosen] = rankNodes(self.name, relays)
  return local.find(({ name }) => name === chosen)
}
