/**
 * The network between the failure domains of a deployment: a link from each
 * domain to each process, so that a domain can be cut off from the others.
 * `dialThroughLinks` makes processes connect through these links.
 */

import { BOTH_DIRECTIONS, createLink } from '../link/link.js'
import type { Link, LinkDirection, LinkState } from '../link/link.js'

const LOOPBACK = '127.0.0.1'

/** Direction of traffic between a failure domain and the others, seen from that domain. */
export type DomainDirection = 'in' | 'out'

export interface Network {
  /** Returns the host at which processes of this failure domain reach the links to others. */
  hostOf: (failureDomain: string) => string
  /** Creates links from every failure domain to the process that listens on `port`. */
  connectProcess: (failureDomain: string, port: number) => Promise<void>
  /** Holds bytes between the domain and the others until `heal`, by default in both directions. */
  cut: (failureDomain: string, domainDirections?: readonly DomainDirection[]) => void
  /** Delivers the held bytes and ends the cut. */
  heal: (failureDomain: string) => void
  /** Drops all further bytes of open connections between the domain and the others, by default in both directions; new connections work. */
  loseOpenConnections: (failureDomain: string, domainDirections?: readonly DomainDirection[]) => void
  /** Sets the one-way delay between failure domains, in milliseconds. */
  setDelay: (milliseconds: number) => void
  /** Returns the links to the process that listens on `port`, or only those from one failure domain. */
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

  /** Yields the links between the domain and the others, with the link directions that match `domainDirections`. */
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
      // A link to another domain that is still cut stays held.
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
