/** Checks requests for an explanation of where an operation would go. */

import { checkFields, hasFields, isFlag, isNumber, isOptional, isText } from '../messageFields.js'
import type { ExplanationRequest, OperationKind } from '@cyclamenusher/decisions'
import type { FieldCheck } from '../messageFields.js'

const KINDS: Record<OperationKind, true> = { read: true, write: true, begin: true }

const EXPLANATION_FIELDS: Record<string, FieldCheck> = {
  database: isText,
  kind: value => isText(value) && Object.hasOwn(KINDS, value as string),
  account: isOptional(isText),
  keyDigest: isOptional(isText),
  position: isOptional(hasFields({ term: isNumber, position: isNumber })),
  asHolder: isOptional(isFlag)
}

/** @throws Error that names the field and its value */
export function checkExplanationRequest (value: unknown): ExplanationRequest {
  return checkFields('request for an explanation', value, EXPLANATION_FIELDS)
}
