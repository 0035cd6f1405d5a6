/**
 * Lint rule: a name that is known only at run time must not be looked up in an object of
 * type `Record<string, …>`. Every object inherits names such as `constructor`, and
 * assigning to `__proto__` adds no key. `lookUp` reads own keys only; a `Map` has no others.
 */

import { ESLintUtils } from '@typescript-eslint/utils'
import ts from 'typescript'

function isText (checker, type) {
  return checker.isTypeAssignableTo(type, checker.getStringType()) && !type.isStringLiteral() && !type.isUnion()
}

export const noInheritedKeys = {
  meta: {
    type: 'problem',
    schema: [],
    messages: {
      lookup: 'A name from outside may be one that every object inherits: use `lookUp`, `Object.hasOwn` with a literal key, or a `Map`.',
      membership: '`in` also finds inherited names: use `Object.hasOwn`.'
    }
  },
  create (context) {
    const services = ESLintUtils.getParserServices(context)
    const checker = services.program.getTypeChecker()
    return {
      MemberExpression: node => {
        if (!node.computed || node.property.type === 'Literal') return
        const objectType = services.getTypeAtLocation(node.object)
        const hasTextIndex = checker.getIndexInfoOfType(checker.getNonNullableType(objectType), ts.IndexKind.String) !== undefined
        if (hasTextIndex && isText(checker, services.getTypeAtLocation(node.property))) context.report({ node, messageId: 'lookup' })
      },
      'BinaryExpression[operator="in"]': node => {
        if (node.left.type !== 'Literal' && node.left.type !== 'PrivateIdentifier') context.report({ node, messageId: 'membership' })
      }
    }
  }
}
