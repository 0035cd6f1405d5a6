/**
 * Records of a log file: a header with the length and checksums, then the
 * content. A header is 20 bytes: mark, length, checksum of the length, and the
 * first 8 bytes of the content's SHA-256.
 */

import { createHash } from 'node:crypto'

/** "CYR1": where a record begins. */
const RECORD_MAGIC = 0x43595231
const HEADER_BYTES = 20
/** Longest content of one record, in bytes. */
export const MAXIMUM_RECORD_BYTES = 256 * 1024 * 1024

function computeContentChecksum (content: Buffer): Buffer {
  return createHash('sha256').update(content).digest().subarray(0, 8)
}

function computeLengthChecksum (length: number): number {
  return createHash('sha256').update(`length ${length}`).digest().readUInt32BE(0)
}

export function encodeRecord (value: unknown): Buffer {
  const content = Buffer.from(JSON.stringify(value), 'utf8')
  const header = Buffer.alloc(HEADER_BYTES)
  header.writeUInt32BE(RECORD_MAGIC, 0)
  header.writeUInt32BE(content.length, 4)
  header.writeUInt32BE(computeLengthChecksum(content.length), 8)
  computeContentChecksum(content).copy(header, 12)
  return Buffer.concat([header, content])
}

/** Where a record at `offset` ends; undefined when none is whole there. */
function findRecordEnd (bytes: Buffer, offset: number): number | undefined {
  if (offset + HEADER_BYTES > bytes.length || bytes.readUInt32BE(offset) !== RECORD_MAGIC) return undefined
  const length = bytes.readUInt32BE(offset + 4)
  if (length > MAXIMUM_RECORD_BYTES || bytes.readUInt32BE(offset + 8) !== computeLengthChecksum(length)) return undefined
  const end = offset + HEADER_BYTES + length
  if (end > bytes.length) return undefined
  return computeContentChecksum(bytes.subarray(offset + HEADER_BYTES, end)).equals(bytes.subarray(offset + 12, offset + HEADER_BYTES)) ? end : undefined
}

function hasRecordAfter (bytes: Buffer, offset: number): boolean {
  const magic = Buffer.alloc(4)
  magic.writeUInt32BE(RECORD_MAGIC, 0)
  for (let position = bytes.indexOf(magic, offset); position !== -1; position = bytes.indexOf(magic, position + 1)) {
    if (findRecordEnd(bytes, position) !== undefined) return true
  }
  return false
}

export interface DecodedRecords {
  values: unknown[]
  /** Bytes of whole records; what is behind was cut short while it was written. */
  length: number
  /** Where a damaged record lies before a whole one. */
  damagedAt?: number
}

/** Reads records up to the first that is not whole. */
export function decodeRecords (bytes: Buffer): DecodedRecords {
  const values: unknown[] = []
  let offset = 0
  for (let end = findRecordEnd(bytes, offset); end !== undefined; end = findRecordEnd(bytes, offset)) {
    values.push(JSON.parse(bytes.subarray(offset + HEADER_BYTES, end).toString('utf8')))
    offset = end
  }
  const damaged = offset < bytes.length && hasRecordAfter(bytes, offset + 1)
  return { values, length: offset, ...(damaged ? { damagedAt: offset } : {}) }
}
