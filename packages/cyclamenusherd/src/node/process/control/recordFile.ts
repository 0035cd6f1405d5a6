/**
 * The format of records in files: a header, then the content as JSON. The header
 * has 20 bytes: magic number, length of the content, checksum of the length, and
 * the first 8 bytes of the content's SHA-256.
 */

import { createHash } from 'node:crypto'

/** "CYR1", with which every record begins. */
const RECORD_MAGIC = 0x43595231
const HEADER_BYTES = 20
/** Maximum length of a record's content, in bytes. */
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

/** Returns where the record at `offset` ends; undefined if there is no complete, undamaged record. */
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
  /** Length of all records before the first incomplete or damaged one, in bytes. */
  length: number
  /** Offset of a damaged record that is followed by a valid one; undefined if the end is only an interrupted write. */
  damagedAt?: number
}

/** Reads records up to the first incomplete or damaged one. */
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
