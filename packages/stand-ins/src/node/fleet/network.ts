/**
 * The network between the failure domains of a deployment: a link from each
 * domain to each process, so that a domain can be cut off from the others.
 * Processes reach their links through `dialThroughLinks`.
 */

import { BOTH_DIRECTIONS, createLink } from '../link/link.js'
import type { Link, LinkDirection, LinkState } from '../link/link.js'

const LOOPBACK = '127.0.0.1'

/** Traffic that a fault touches, seen from the failure domain that it strikes. */
export type Passage = 'in' | 'out'

export interface Network {
  /** The address at which processes of this failure domain reach the others. */
  hostOf: (failureDomain: string) => string
  /** Makes a process reachable from every failure domain at `port`. */
  connectProcess: (failureDomain: string, port: number) => Promise<void>
  /** Bytes between the domain and the others are held until `heal`, or only one way. */
  cut: (failureDomain: string, passages?: readonly Passage[]) => void
  heal: (failureDomain: string) => void
  /** Connections open now between the domain and the others stay silent for good; new ones work. */
  loseOpen: (failureDomain: string, passages?: readonly Passage[]) => void
  /** Delay between failure domains, one way, in milliseconds. */
  setDelay: (milliseconds: number) => void
  /** Every link to one process, or those from one failure domain. */
  linksTo: (port: number, fromDomain?: string) => Link[]
  close: () => Promise<void>
}

interface PlacedLink {
  from: string
  to: string
  port: number
  link: Link
}

const BOTH_PASSAGES: readonly Passage[] = ['in', 'out']

export function createNetwork (failureDomains: readonly string[]): Network {
  const placed: PlacedLink[] = []
  const isCut = new Set<string>()

  function hostOf (failureDomain: string): string {
    return `127.${failureDomains.indexOf(failureDomain) + 1}.1.1`
  }

  /** Links that cross the domain's border, with the directions that the passages mean there. */
  function * crossing (failureDomain: string, passages: readonly Passage[]): Iterable<{ link: Link, directions: LinkDirection[] }> {
    for (const { from, to, link } of placed) {
      if ((from === failureDomain) === (to === failureDomain)) continue
      const outward: LinkDirection = from === failureDomain ? 'forward' : 'back'
      const directions = BOTH_DIRECTIONS.filter(direction => passages.includes(direction === outward ? 'out' : 'in'))
      yield { link, directions }
    }
  }

  function setState (failureDomain: string, state: LinkState, passages: readonly Passage[]): void {
    for (const { link, directions } of crossing(failureDomain, passages)) link.setState(state, directions)
  }

  return {
    hostOf,
    connectProcess: async (failureDomain, port) => {
      for (const from of failureDomains) {
        const link = await createLink({ listen: { host: hostOf(from), port }, target: { host: LOOPBACK, port } })
        placed.push({ from, to: failureDomain, port, link })
      }
    },
    cut: (failureDomain, passages = BOTH_PASSAGES) => {
      isCut.add(failureDomain)
      setState(failureDomain, 'held', passages)
    },
    heal: failureDomain => {
      isCut.delete(failureDomain)
      setState(failureDomain, 'passing', BOTH_PASSAGES)
      // A link between two domains that were both cut stays cut with the other.
      for (const other of isCut) setState(other, 'held', BOTH_PASSAGES)
    },
    loseOpen: (failureDomain, passages = BOTH_PASSAGES) => {
      for (const { link, directions } of crossing(failureDomain, passages)) link.loseOpen(directions)
    },
    setDelay: milliseconds => {
      for (const { from, to, link } of placed) if (from !== to) link.setDelay(milliseconds)
    },
    linksTo: (port, fromDomain) => placed.filter(link => link.port === port && (fromDomain === undefined || link.from === fromDomain)).map(({ link }) => link),
    close: async () => { await Promise.all(placed.map(async ({ link }) => { await link.close() })) }
  }
}
