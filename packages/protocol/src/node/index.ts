/** Wire formats: calls between processes and the PostgreSQL framing. */

export * from '../gen/cyclamenusher_pb.js'
export * from './answerTimeout.js'
export * from './boundedJson.js'
export * from './byteCollector.js'
export * from './flatMessages.js'
export * from './messageStream.js'
export * from './postgres/errors.js'
export * from './postgres/frames.js'
export * from './postgres/messages.js'
export * from './silentConnections.js'
export * from './streamCalls.js'
export * from './transport.js'
