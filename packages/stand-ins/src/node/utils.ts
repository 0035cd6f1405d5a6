/** Helpers shared by the stand-ins. */

import { STARTUP_CODE, cString } from '@cyclamenusher/protocol'

/** Builds the first message of a connection, which has no type byte. */
export function buildStartupMessage (parameters: Record<string, string>): Buffer {
  const fields = Object.entries(parameters).flatMap(([name, value]) => [cString(name), cString(value)])
  const body = Buffer.concat([...fields, Buffer.from([0])])
  const header = Buffer.alloc(8)
  header.writeUInt32BE(body.length + 8, 0)
  header.writeUInt32BE(STARTUP_CODE.version3, 4)
  return Buffer.concat([header, body])
}
