/** Three control instances behind paths that can be cut, and an entry link that renews its lease with the first one. */

import { connect, createServer } from 'node:net'
import { deflateSync } from 'node:zlib'
import { listenForCalls } from '@cyclamenusher/protocol'
import { systemClock } from '../../clock.js'
import { createFleetLink } from '../fleetLink.js'
import { createFleetStreams } from '../fleetStreams.js'
import { createPeers } from '../../peers.js'
import { CREDENTIALS, HOST, createDocument, waitUntil } from './fleetHarness.js'
import type { Server, Socket } from 'node:net'
import type { Declaration, RenewReply, RenewRequest } from '@cyclamenusher/decisions'
import type { Address } from '../../address.js'
import type { Peers } from '../../peers.js'

/** What a cut does to connections that are open: they end, carry nothing ever again, or deliver when the kernel retransmits after the path is back. */
export type OpenConnections = 'refused' | 'lost' | 'retransmitted'
/** What a cut does to attempts to connect: they are refused, or not answered until the kernel sends the next SYN. */
export type NewConnections = 'refused' | 'unanswered'

const CONTROL_INSTANCES = 3
/** Retransmission timeout of a kernel, in milliseconds; it doubles with each further one. */
const RETRANSMISSION_MILLISECONDS = 200
/** When a kernel sends a SYN again, and when the attempt is given up, in milliseconds. */
const SYN_MILLISECONDS = [0, 1_000]
const CONNECT_TIMEOUT_MILLISECONDS = 2_000

interface Path {
  address: Address
  /** When the path comes back; Infinity while that is not known; -Infinity while it is there. */
  cutUntil: number
  openConnections: OpenConnections
  newConnections: NewConnections
  server: Server
  sockets: Set<Socket>
  /** Makes the open connections carry nothing any more. */
  lose: Set<() => void>
  /** Number of attempts to connect. */
  attempts: number
}

/** Delivers bytes of a connection across a path. */
function pipeAcross (path: Path, from: Socket, to: Socket): void {
  let isLost = false
  let held: Buffer[] = []
  const deliver = (sentAt: number, timeout: number): void => {
    if (isLost) return
    if (performance.now() < path.cutUntil) {
      setTimeout(() => { deliver(sentAt, timeout * 2) }, timeout).unref()
      return
    }
    for (const chunk of held) to.write(chunk)
    held = []
  }
  from.on('data', (chunk: Buffer) => {
    if (isLost) return
    const isCut = performance.now() < path.cutUntil
    if (!isCut && held.length === 0) {
      to.write(chunk)
      return
    }
    held.push(chunk)
    if (held.length === 1) deliver(performance.now(), RETRANSMISSION_MILLISECONDS)
  })
  path.lose.add(() => { isLost = true })
  // A kernel forgets what it has not delivered of a connection that is reset.
  from.on('error', () => { held = [] })
  from.on('close', () => { if (!isLost && performance.now() >= path.cutUntil) to.destroy() })
}

async function openPath (target: number): Promise<Path> {
  const sockets = new Set<Socket>()
  const server = createServer(socket => {
    const other = connect(target, HOST)
    for (const end of [socket, other]) sockets.add(end)
    pipeAcross(path, socket, other)
    pipeAcross(path, other, socket)
  })
  const path: Path = { address: { host: HOST, port: 0 }, cutUntil: -Infinity, openConnections: 'lost', newConnections: 'unanswered', server, sockets, lose: new Set(), attempts: 0 }
  await new Promise<void>(resolve => { server.listen(0, HOST, resolve) })
  const address = server.address()
  path.address.port = typeof address === 'object' && address !== null ? address.port : 0
  return path
}

/** Waits for the SYN that gets through, and fails as the kernel or the time limit would. */
async function awaitConnection (path: Path, onAbort: (abort: () => void) => void): Promise<void> {
  path.attempts += 1
  const startedAt = performance.now()
  if (startedAt >= path.cutUntil) return
  if (path.newConnections === 'refused') throw new Error('refused')
  await new Promise<void>((resolve, reject) => {
    const timers = SYN_MILLISECONDS.slice(1).map(delay => setTimeout(() => { if (performance.now() >= path.cutUntil) resolve() }, delay))
    timers.push(setTimeout(() => { reject(new Error('no connection in time')) }, CONNECT_TIMEOUT_MILLISECONDS))
    onAbort(() => {
      for (const timer of timers) clearTimeout(timer)
      reject(new Error('aborted'))
    })
  })
}

function createCutPeers (paths: readonly Path[]): Peers {
  const peers = createPeers(CREDENTIALS)
  const aborts = new Map<number, Set<() => void>>()
  return {
    ...peers,
    link: address => {
      const link = peers.link(address)
      const path = paths.find(({ address: { port } }) => port === address.port)
      if (path === undefined) return link
      const pending = aborts.get(address.port) ?? new Set()
      aborts.set(address.port, pending)
      return {
        ...link,
        openStream: async (name, attach) => {
          await awaitConnection(path, abort => { pending.add(abort) })
          return await link.openStream(name, attach)
        },
        reconnect: () => {
          for (const abort of pending) abort()
          pending.clear()
          link.reconnect()
        }
      }
    }
  }
}

export async function createCutPaths () {
  const arrivals: number[] = []
  const renewals: number[] = []
  let version = 1
  const paths: Path[] = []
  const answer = async (index: number, request: RenewRequest, signal: AbortSignal): Promise<RenewReply> => {
    if (index === 0) arrivals.push(performance.now())
    // What has arrived together is read first.
    await new Promise(resolve => setImmediate(resolve))
    if (signal.aborted) return { kind: 'not leader' }
    if (index > 0) return { kind: 'not leader', leader: paths[0].address }
    renewals.push(performance.now())
    const isNew = version > request.version
    const declaration = { version, deflated: deflateSync(createDocument(version).text).toString('base64') }
    if (!isNew) await new Promise(resolve => setTimeout(resolve, request.holdMilliseconds))
    return { kind: 'granted', leaseMilliseconds: 1_500, parts: {}, shared: { term: 1, change: 1, whole: true, groups: [], servers: [], entries: 9, control: paths.map(({ address }) => address), ...(isNew ? { declaration } : {}) } }
  }
  const logger = { error: () => {}, warn: () => {}, info: () => {}, debug: () => {} }
  const servers = await Promise.all(Array.from({ length: CONTROL_INSTANCES }, async (_, index) => await listenForCalls(HOST, 0, CREDENTIALS, () => {}, createFleetStreams({ renew: async (request, signal) => await answer(index, request, signal), borrow: () => ({ granted: 0 }) }, logger))))
  for (const { port } of servers) paths.push(await openPath(port))
  const peers = createCutPeers(paths)
  const link = createFleetLink({ name: 'entry-1', failureDomain: 'a', seeds: () => paths.map(({ address }) => address), decodeDeclaration: ({ text }) => JSON.parse(text) as Declaration, report: () => ({ demand: {}, sightings: {}, busy: [] }), peers, clock: systemClock, logger })
  link.start()
  await waitUntil('a lease', () => link.isLeased())
  // The streams to the other control instances open one with each renewal.
  await waitUntil('streams to all', () => paths.every(({ sockets }) => sockets.size > 0))
  return {
    link,
    paths,
    /** When each renewal arrived at the leader, also those that had been given up. */
    arrivals,
    /** When each renewal that had not been given up arrived at the leader. */
    renewals,
    declare: (next: number) => { version = next },
    /** Cuts the paths, and those with an index below `returning` come back after `milliseconds`. */
    cut: (milliseconds: number, returning: number, openConnections: OpenConnections, newConnections: NewConnections) => {
      const until = performance.now() + milliseconds
      for (const [index, path] of paths.entries()) {
        Object.assign(path, { cutUntil: index < returning ? until : Infinity, openConnections, newConnections })
        if (openConnections === 'lost') for (const lose of path.lose) lose()
        path.lose.clear()
        if (openConnections === 'refused') for (const socket of path.sockets) socket.destroy()
      }
      return until
    },
    stop: async () => {
      link.close()
      peers.close()
      for (const { server, sockets } of paths) {
        server.close()
        for (const socket of sockets) socket.destroy()
      }
      await Promise.all(servers.map(async server => { await server.close() }))
    }
  }
}
