/**
 * The network between the failure domains of a deployment: a link from each
 * domain to each process, so that a domain can be cut off from the others.
 * Processes reach their links through `dialThroughLinks`.
 */

import { BOTH_DIRECTIONS, createLink } from '../link/link.js'
import type { Link, LinkDirection, LinkState } from '../link/link.js'

const LOOPBACK = '127.0.0.1'

/** Traffic that a fault touches, seen from the failure domain that it strikes. */
export type DomainDirection = 'in' | 'out'

export interface Network {
  /** The address at which processes of this failure domain reach the others. */
  hostOf: (failureDomain: string) => string
  /** Makes a process reachable from every failure domain at `port`. */
  connectProcess: (failureDomain: string, port: number) => Promise<void>
  /** Bytes between the domain and the others are held until `heal`, or only one way. */
  cut: (failureDomain: string, domainDirections?: readonly DomainDirection[]) => void
  heal: (failureDomain: string) => void
  /** Connections open now between the domain and the others stay silent for good; new ones work. */
  loseOpenConnections: (failureDomain: string, domainDirections?: readonly DomainDirection[]) => void
  /** Delay between failure domains, one way, in milliseconds. */
  setDelay: (milliseconds: number) => void
  /** Every link to one process, or those from one failure domain. */
  linksTo: (port: number, fromDomain?: string) => Link[]
  close: () => Promise<void>
}

interface DomainLink {
  from: string
  to: string
  port: number
  link: Link
}

const BOTH_DOMAIN_DIRECTIONS: readonly DomainDirection[] = ['in', 'out']

export function createNetwork (failureDomains: readonly string[]): Network {
  const domainLinks: DomainLink[] = []
  const cutDomains = new Set<string>()

  function hostOf (failureDomain: string): string {
    return `127.${failureDomains.indexOf(failureDomain) + 1}.1.1`
  }

  /** Links that cross the domain's border, with the directions that the passages mean there. */
  function * findCrossingLinks (failureDomain: string, domainDirections: readonly DomainDirection[]): Iterable<{ link: Link, directions: LinkDirection[] }> {
    for (const { from, to, link } of domainLinks) {
      if ((from === failureDomain) === (to === failureDomain)) continue
      const outboundDirection: LinkDirection = from === failureDomain ? 'forward' : 'back'
      const directions = BOTH_DIRECTIONS.filter(direction => domainDirections.includes(direction === outboundDirection ? 'out' : 'in'))
      yield { link, directions }
    }
  }

  function setState (failureDomain: string, state: LinkState, domainDirections: readonly DomainDirection[]): void {
    for (const { link, directions } of findCrossingLinks(failureDomain, domainDirections)) link.setState(state, directions)
  }

  return {
    hostOf,
    connectProcess: async (failureDomain, port) => {
      for (const from of failureDomains) {
        const link = await createLink({ listen: { host: hostOf(from), port }, target: { host: LOOPBACK, port } })
        domainLinks.push({ from, to: failureDomain, port, link })
      }
    },
    cut: (failureDomain, domainDirections = BOTH_DOMAIN_DIRECTIONS) => {
      cutDomains.add(failureDomain)
      setState(failureDomain, 'held', domainDirections)
    },
    heal: failureDomain => {
      cutDomains.delete(failureDomain)
      setState(failureDomain, 'passing', BOTH_DOMAIN_DIRECTIONS)
      // A link between two domains that were both cut stays cut with the other.
      for (const other of cutDomains) setState(other, 'held', BOTH_DOMAIN_DIRECTIONS)
    },
    loseOpenConnections: (failureDomain, domainDirections = BOTH_DOMAIN_DIRECTIONS) => {
      for (const { link, directions } of findCrossingLinks(failureDomain, domainDirections)) link.loseOpenConnections(directions)
    },
    setDelay: milliseconds => {
      for (const { from, to, link } of domainLinks) if (from !== to) link.setDelay(milliseconds)
    },
    linksTo: (port, fromDomain) => domainLinks.filter(link => link.port === port && (fromDomain === undefined || link.from === fromDomain)).map(({ link }) => link),
    close: async () => { await Promise.all(domainLinks.map(async ({ link }) => { await link.close() })) }
  }
}
