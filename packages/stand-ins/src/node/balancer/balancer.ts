/**
 * A stand-in for the platform's balancer: distributes new TCP connections
 * round-robin over the entry instances whose health page answers 200.
 */

import { request } from 'node:http'
import { connect, createServer } from 'node:net'
import type { Socket } from 'node:net'

/** Interval between two checks of the health pages, in milliseconds. */
const HEALTH_CHECK_INTERVAL_MILLISECONDS = 200
/** Timeout of one health check, in milliseconds. */
const HEALTH_CHECK_TIMEOUT_MILLISECONDS = 500

export interface BalancedInstance {
  host: string
  /** Port for callers. */
  port: number
  /** Port of the metrics and health pages. */
  healthPort: number
}

export interface BalancerOptions {
  listen: { host: string, port: number }
  instances: readonly BalancedInstance[]
}

export interface Balancer {
  port: number
  /** Number of instances that currently receive new connections. */
  healthy: () => number
  close: () => Promise<void>
}

async function isHealthy ({ host, healthPort }: BalancedInstance): Promise<boolean> {
  return await new Promise<boolean>(resolve => {
    const healthRequest = request({ host, port: healthPort, path: '/health', timeout: HEALTH_CHECK_TIMEOUT_MILLISECONDS }, response => {
      response.resume()
      resolve(response.statusCode === 200)
    })
    healthRequest.on('error', () => { resolve(false) })
    healthRequest.on('timeout', () => { healthRequest.destroy() })
    healthRequest.end()
  })
}

/** Starts a balancer. It accepts connections once each health page has been checked. */
export async function createBalancer ({ listen, instances }: BalancerOptions): Promise<Balancer> {
  let healthy: BalancedInstance[] = []
  let turn = 0
  const sockets = new Set<Socket>()

  async function checkHealth (): Promise<void> {
    const answers = await Promise.all(instances.map(isHealthy))
    healthy = instances.filter((_instance, index) => answers[index])
  }

  function track (socket: Socket, peer: Socket): void {
    sockets.add(socket)
    socket.setNoDelay(true)
    socket.on('error', () => {})
    socket.on('close', () => {
      sockets.delete(socket)
      peer.destroySoon()
    })
  }

  const server = createServer(caller => {
    if (healthy.length === 0) {
      caller.destroy()
      return
    }
    turn += 1
    const { host, port } = healthy[turn % healthy.length]
    const instance = connect({ host, port })
    track(caller, instance)
    track(instance, caller)
    caller.pipe(instance)
    instance.pipe(caller)
  })
  await checkHealth()
  const timer = setInterval(() => { void checkHealth() }, HEALTH_CHECK_INTERVAL_MILLISECONDS)
  await new Promise<void>((resolve, reject) => {
    server.once('error', reject)
    server.listen(listen.port, listen.host, resolve)
  })
  const address = server.address()
  return {
    port: typeof address === 'object' && address !== null ? address.port : listen.port,
    healthy: () => healthy.length,
    close: async () => {
      clearInterval(timer)
      const closed = new Promise<void>(resolve => server.close(() => { resolve() }))
      for (const socket of sockets) socket.destroy()
      await closed
    }
  }
}
