/** Links to other instances, one for each address, so that all streams to an instance share a connection. */

import { FleetService, createPeerLink } from '@cyclamenusher/protocol'
import type { PeerCredentials, PeerLink } from '@cyclamenusher/protocol'
import type { Address } from './address.js'

export interface Peers {
  link: (address: Address) => PeerLink<typeof FleetService>
  close: () => void
}

export function createPeers (credentials: PeerCredentials): Peers {
  const links = new Map<string, PeerLink<typeof FleetService>>()
  return {
    link: ({ host, port }) => {
      const key = `${host}:${port}`
      const link = links.get(key) ?? createPeerLink(FleetService, host, port, credentials)
      links.set(key, link)
      return link
    },
    close: () => { for (const link of links.values()) link.reconnect() }
  }
}
