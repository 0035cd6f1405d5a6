/**
 * Reads and writes protobuf messages that consist of numbers, flags, texts and lists of
 * texts, by their generated descriptors. The library's own functions go through its
 * reflection, which took 28 us to write and 26 us to read a request of 115 bytes, more than
 * JSON of four times the length.
 */

import { ScalarType } from '@bufbuild/protobuf'
import { BinaryReader, BinaryWriter, WireType } from '@bufbuild/protobuf/wire'
import type { DescField, DescMessage, MessageShape } from '@bufbuild/protobuf'
import type { GenMessage } from '@bufbuild/protobuf/codegenv2'

/** Numbers of 64 bits are JavaScript numbers; those that these can't hold exactly become NaN. */
type Plain<Value> = Value extends bigint ? number : Value
/** The fields of a message. */
export type FlatContent<Schema extends DescMessage> = { [Field in Exclude<keyof MessageShape<Schema>, '$typeName' | '$unknown'>]: Plain<MessageShape<Schema>[Field]> }

export interface FlatCodec<Content> {
  /** Writes the fields that have a value. */
  write: (content: Partial<Content>) => Uint8Array
  /** Reads a message; fields that are not known are skipped. @throws Error */
  read: (body: Buffer) => Content
}

/** Numbers below this fit into 32 bits, whose varints are the same and cheaper to write. */
const SHORT_NUMBER_LIMIT = 2 ** 32

interface FieldType {
  wireType: WireType
  write: (writer: BinaryWriter, value: never) => unknown
  read: (reader: BinaryReader, body: Buffer) => unknown
  /** Value of a field without explicit presence that was not sent. */
  usual: unknown
}

const MAXIMUM_VARINT_BYTES = 10
const CONTINUED = 0x80

/** @throws RangeError */
function readNumber (reader: BinaryReader, body: Buffer): number {
  let value = 0
  for (let count = 0, factor = 1; count < MAXIMUM_VARINT_BYTES && reader.pos < body.length; count += 1, factor *= CONTINUED) {
    const byte = body[reader.pos]
    reader.pos += 1
    value += byte % CONTINUED * factor
    if (byte < CONTINUED) return Number.isSafeInteger(value) ? value : NaN
  }
  throw new RangeError('a number of a message has no end')
}

/** @throws RangeError */
function readText (reader: BinaryReader, body: Buffer): string {
  const length = reader.uint32()
  const start = reader.pos
  if (start + length > body.length) throw new RangeError('a text of a message has no end')
  reader.pos += length
  return body.toString('utf8', start, reader.pos)
}

const TEXT: FieldType = { wireType: WireType.LengthDelimited, write: (writer, value) => writer.string(value), read: readText, usual: '' }
const FLAG: FieldType = { wireType: WireType.Varint, write: (writer, value) => writer.bool(value), read: reader => reader.bool(), usual: false }
const ENUMERATION: FieldType = { wireType: WireType.Varint, write: (writer, value) => writer.int32(value), read: reader => reader.int32(), usual: 0 }
const NUMBER: FieldType = { wireType: WireType.Varint, write: (writer, value) => value < SHORT_NUMBER_LIMIT ? writer.uint32(value) : writer.uint64(value), read: readNumber, usual: 0 }
const SCALARS = new Map<ScalarType, FieldType>([[ScalarType.STRING, TEXT], [ScalarType.BOOL, FLAG], [ScalarType.UINT64, NUMBER]])

interface FlatField {
  number: number
  name: string
  type: FieldType
  isList: boolean
  /** Whether it is sent with its usual value as well. */
  isExplicit: boolean
}

function findFieldType (field: DescField): FieldType | undefined {
  if (field.fieldKind === 'enum') return ENUMERATION
  if (field.fieldKind === 'scalar') return SCALARS.get(field.scalar)
  return field.fieldKind === 'list' && field.listKind === 'scalar' && field.scalar === ScalarType.STRING ? TEXT : undefined
}

const EXPLICIT_PRESENCE = 1

function describeField (field: DescField): FlatField {
  const type = findFieldType(field)
  if (type === undefined) throw new Error(`${field.toString()} has a type that flat messages don't have`)
  return { number: field.number, name: field.localName, type, isList: field.fieldKind === 'list', isExplicit: field.presence === EXPLICIT_PRESENCE }
}

/** Writes and reads the messages of a schema. */
export function createFlatCodec<Schema extends GenMessage<never> | DescMessage> (schema: Schema): FlatCodec<FlatContent<Schema>> {
  type Content = FlatContent<Schema>
  const fields = schema.fields.map(describeField).sort((left, right) => left.number - right.number)
  const fieldsByNumber = new Map(fields.map(field => [field.number, field]))

  function writeField (writer: BinaryWriter, { number, type, isList, isExplicit }: FlatField, value: unknown): void {
    if (isList) {
      for (const item of value as unknown[]) type.write(writer.tag(number, type.wireType), item as never)
      return
    }
    if (isExplicit || value !== type.usual) type.write(writer.tag(number, type.wireType), value as never)
  }

  const usualContent = Object.fromEntries(fields.map(({ name, type, isList, isExplicit }) => [name, isList || isExplicit ? undefined : type.usual]))

  function readField (reader: BinaryReader, body: Buffer, content: object, number: number, wireType: WireType): void {
    const field = fieldsByNumber.get(number)
    if (field === undefined) {
      reader.skip(wireType, number)
      return
    }
    const { name, type, isList } = field
    if (wireType !== type.wireType) throw new Error(`field ${name} of a message has wire type ${wireType}`)
    const value = type.read(reader, body)
    if (isList) (Reflect.get(content, name) as unknown[]).push(value)
    else Reflect.set(content, name, value)
  }

  return {
    write: content => {
      const writer = new BinaryWriter()
      for (const field of fields) {
        const value: unknown = Reflect.get(content, field.name)
        if (value !== undefined) writeField(writer, field, value)
      }
      return writer.finish()
    },
    read: body => {
      const reader = new BinaryReader(body)
      const content = { ...usualContent }
      for (const { name, isList } of fields) if (isList) Reflect.set(content, name, [])
      while (reader.pos < reader.len) {
        const [number, wireType] = reader.tag()
        readField(reader, body, content, number, wireType)
      }
      return content as Content
    }
  }
}
