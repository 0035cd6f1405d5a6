import { createServer as createHttpServer } from 'node:http'
import { connect, createServer } from 'node:net'
import { test } from 'uvu'
import * as assert from 'uvu/assert'
import { createBalancer } from '../balancer.js'
import type { AddressInfo, Server } from 'node:net'
import type { BalancedInstance } from '../balancer.js'

interface FakeInstance extends BalancedInstance {
  setHealthy: (healthy: boolean) => void
  close: () => void
}

async function listen (server: Server): Promise<number> {
  await new Promise<void>(resolve => { server.listen(0, '127.0.0.1', resolve) })
  return (server.address() as AddressInfo).port
}

/** Starts an instance that sends its name to each caller and serves a health page. */
async function startInstance (name: string): Promise<FakeInstance> {
  let healthy = true
  const callers = createServer(socket => { socket.end(name) })
  const pages = createHttpServer((_request, response) => { response.writeHead(healthy ? 200 : 503).end() })
  const [port, healthPort] = [await listen(callers), await listen(pages)]
  return {
    host: '127.0.0.1',
    port,
    healthPort,
    setHealthy: value => { healthy = value },
    close: () => {
      callers.close()
      pages.closeAllConnections()
      pages.close()
    }
  }
}

async function readGreeting (port: number): Promise<string> {
  return await new Promise(resolve => {
    let text = ''
    const socket = connect(port, '127.0.0.1')
    socket.on('data', (chunk: Buffer) => { text += chunk.toString('utf8') })
    socket.on('error', () => {})
    socket.on('close', () => { resolve(text) })
  })
}

test('new connections go to healthy instances in turn, and to none when none is healthy', async () => {
  const instances = [await startInstance('one'), await startInstance('two')]
  const balancer = await createBalancer({ listen: { host: '127.0.0.1', port: 0 }, instances })
  const waitForHealthyCount = async (count: number): Promise<void> => {
    while (balancer.healthy() !== count) await new Promise(resolve => setTimeout(resolve, 10))
  }
  assert.equal([await readGreeting(balancer.port), await readGreeting(balancer.port)].sort(), ['one', 'two'])
  instances[0].setHealthy(false)
  await waitForHealthyCount(1)
  assert.equal([await readGreeting(balancer.port), await readGreeting(balancer.port)], ['two', 'two'])
  instances[1].setHealthy(false)
  await waitForHealthyCount(0)
  assert.is(await readGreeting(balancer.port), '')
  await balancer.close()
  for (const instance of instances) instance.close()
})

test.run()
