/**
 * A link between one machine and the provider, as a process of its own: forwards
 * connections. Once armed, it holds back the next connection that arrives and says so; its
 * parent then stops the process, which cuts the link without a word: bytes that are on
 * their way wait, and new connections hang. When it goes on, all of them are forwarded.
 */

import { connect, createServer } from 'node:net'

const [host, port, targetHost, targetPort] = process.argv.slice(2)
let armed = false
let held = []

function forward (socket) {
  const target = connect({ host: targetHost, port: Number(targetPort), noDelay: true, allowHalfOpen: true })
  for (const end of [socket, target]) end.on('error', () => {})
  socket.pipe(target)
  target.pipe(socket)
  socket.resume()
}

/** Forwards what was held up, unless its sender has reset the connection: such bytes are lost. */
function release (socket) {
  // A connection that was reset has no other end any more; one that was closed still has.
  if (socket.remoteAddress === undefined) socket.destroy()
  else forward(socket)
}

const server = createServer({ pauseOnConnect: true, allowHalfOpen: true, noDelay: true }, socket => {
  socket.on('error', () => {})
  if (!armed) return forward(socket)
  held.push(socket)
  process.send('held')
})

process.on('message', message => {
  armed = message === 'arm'
  if (armed) return
  for (const socket of held) release(socket)
  held = []
})
process.on('disconnect', () => { process.exit() })
// The shortest queue: once it is full, attempts to connect are not answered.
server.listen({ port: Number(port), host, backlog: 1 }, () => { process.send('listening') })
