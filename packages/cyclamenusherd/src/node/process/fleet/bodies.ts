/** Encodes and decodes the JSON bodies of calls whose message types are declared in TypeScript. */

export function encodeBody (value: unknown): Uint8Array<ArrayBuffer> {
  return new Uint8Array(Buffer.from(JSON.stringify(value), 'utf8'))
}

export function decodeBody<Value> (body: Uint8Array): Value {
  return JSON.parse(Buffer.from(body).toString('utf8')) as Value
}
