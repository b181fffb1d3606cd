import type * as core from 'zod/v4/core';

const LONGEST_VALUE = 80;

/** A fault that a schema found, in words: the value and what was expected. */
export function describeIssue(issue: core.$ZodIssue, root: unknown): string {
  if (issue.code === 'unrecognized_keys') {
    return `unknown key ${issue.keys.map(key => `"${key}"`).join(', ')}`;
  }
  const value = valueAt(root, issue.path);
  if (value === undefined) {
    return 'is missing';
  }
  const shown = JSON.stringify(value)?.slice(0, LONGEST_VALUE);
  return `is ${shown}; ${describeExpected(issue)}`;
}

/** The value that a path leads to; undefined if it leads nowhere. */
export function valueAt(root: unknown, path: readonly PropertyKey[]): unknown {
  return path.reduce<unknown>(
    (value, part) =>
      value === null || typeof value !== 'object'
        ? undefined
        : (value as Record<PropertyKey, unknown>)[part],
    root,
  );
}

function describeExpected(issue: core.$ZodIssue): string {
  switch (issue.code) {
    case 'invalid_type':
      return `expected ${issue.expected}`;
    case 'too_small':
      return `expected at least ${issue.minimum}`;
    case 'too_big':
      return `expected at most ${issue.maximum}`;
    case 'not_multiple_of':
      return `expected a multiple of ${issue.divisor}`;
    case 'invalid_format':
      return `expected text like ${issue.pattern ?? issue.format}`;
    case 'invalid_value':
      return `expected one of ${issue.values.join(', ')}`;
    case 'unrecognized_keys':
    case 'invalid_union':
    case 'invalid_key':
    case 'invalid_element':
    case 'custom':
      return issue.message ?? 'expected another value';
    default:
      return issue satisfies never;
  }
}
