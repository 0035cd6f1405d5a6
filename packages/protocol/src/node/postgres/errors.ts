/** Errors of the PostgreSQL framing layer. */

/** A frame declares more bytes than its reader allows. */
export class FrameTooLongError extends Error {
  override readonly name = 'FrameTooLongError'
  constructor (readonly type: number, readonly bytes: number, readonly maximumBytes: number) {
    super(`frame of type ${type} announces ${bytes} bytes, at most ${maximumBytes} are allowed`)
  }
}

/** A frame's length field is less than its own four bytes. */
export class MalformedFrameError extends Error {
  override readonly name = 'MalformedFrameError'
  constructor (readonly type: number, readonly length: number) {
    super(`frame of type ${type} has the impossible length ${length}`)
  }
}
