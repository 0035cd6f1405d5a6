/** Links to the other control instances: one call at a time for each, with a timeout and a bounded message queue. */

import { Code, ConnectError } from '@connectrpc/connect'
import { ConsensusService, createPeerLink } from '@cyclamenusher/protocol'
import { decodeMessages, encodeMessages } from './consensusMessages.js'
import type { ConsensusMessage, LogMember } from '@cyclamenusher/decisions'
import type { PeerCredentials, PeerLink } from '@cyclamenusher/protocol'

/** Timeout of one call, in milliseconds. */
const CALL_TIMEOUT_MILLISECONDS = 500
/** Maximum number of messages queued for one peer; the oldest is dropped first. Consensus tolerates lost messages. */
const MAXIMUM_QUEUED_MESSAGES = 64

export interface PeerLinks {
  /** Sets the members and their addresses. */
  setMembers: (members: readonly LogMember[]) => void
  send: (to: string, message: ConsensusMessage) => void
  close: () => void
}

interface Peer {
  host: string
  port: number
  link: PeerLink<typeof ConsensusService>
  queued: ConsensusMessage[]
  busy: boolean
}

/** Whether a call got no answer in time, possibly because its connection no longer works. */
function isTimeout (error: unknown): boolean {
  return error instanceof ConnectError && error.code === Code.DeadlineExceeded
}

/** Calls `receiveReplies` with the messages that a peer returns in its answer to a call. */
export function createPeerLinks (self: string, credentials: PeerCredentials, receiveReplies: (from: string, messages: ConsensusMessage[]) => void): PeerLinks {
  const peers = new Map<string, Peer>()
  let closed = false

  async function flush (to: string, peer: Peer): Promise<void> {
    if (peer.busy) return
    peer.busy = true
    while (peer.queued.length > 0 && !closed) {
      const messages = peer.queued.splice(0)
      try {
        const { body } = await peer.link.client.deliver({ from: self, to, body: encodeMessages(messages) }, { timeoutMs: CALL_TIMEOUT_MILLISECONDS })
        if (!closed) receiveReplies(to, decodeMessages(body))
      } catch (error) {
        // Messages may be lost: the next heartbeat detects what is missing and sends it again.
        if (isTimeout(error)) peer.link.reconnect()
        peer.queued.splice(0)
      }
    }
    peer.busy = false
  }

  function setMembers (members: readonly LogMember[]): void {
    const otherMembers = new Map(members.filter(({ identity }) => identity !== self).map(member => [member.identity, member]))
    for (const [identity, peer] of peers) {
      const member = otherMembers.get(identity)
      if (member?.host === peer.host && member.port === peer.port) continue
      peer.link.reconnect()
      peers.delete(identity)
    }
    for (const [identity, { host, port }] of otherMembers) {
      if (!peers.has(identity)) peers.set(identity, { host, port, link: createPeerLink(ConsensusService, host, port, credentials), queued: [], busy: false })
    }
  }

  function send (to: string, message: ConsensusMessage): void {
    const peer = peers.get(to)
    if (peer === undefined || closed) return
    peer.queued.push(message)
    if (peer.queued.length > MAXIMUM_QUEUED_MESSAGES) peer.queued.shift()
    void flush(to, peer)
  }

  function close (): void {
    closed = true
    for (const { link } of peers.values()) link.reconnect()
  }

  return { setMembers, send, close }
}
