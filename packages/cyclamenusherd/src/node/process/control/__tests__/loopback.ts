/** Free addresses for instances that must know each other's before they listen. */

import { createServer } from 'node:net'

/** A loopback address of this process, so that no other one takes a port between its choice and its use. */
export const PROCESS_HOST = `127.${1 + (process.pid >> 16) % 254}.${(process.pid >> 8) % 256}.${process.pid % 256}`

export async function findFreePort (): Promise<number> {
  return await new Promise(resolve => {
    const server = createServer().listen(0, PROCESS_HOST, () => {
      const address = server.address()
      server.close(() => { resolve(typeof address === 'object' && address !== null ? address.port : 0) })
    })
  })
}
