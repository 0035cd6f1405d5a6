/**
 * Functions that change neither data nor the session. A SELECT that calls any
 * other function counts as a write.
 */
export const SIDE_EFFECT_FREE_FUNCTIONS: ReadonlySet<string> = new Set([
  'abs', 'age', 'array_agg', 'array_length', 'array_to_json', 'avg', 'bool_and', 'bool_or', 'btrim', 'ceil', 'ceiling',
  'char_length', 'clock_timestamp', 'coalesce', 'concat', 'concat_ws', 'count', 'current_database', 'current_schema',
  'current_setting', 'date_bin', 'date_part', 'date_trunc', 'dense_rank', 'every', 'exp', 'extract', 'first_value', 'floor',
  'format', 'generate_series', 'generate_subscripts', 'greatest', 'initcap', 'isfinite', 'json_agg', 'json_array_elements',
  'json_build_array', 'json_build_object', 'json_object_agg', 'jsonb_agg', 'jsonb_array_elements', 'jsonb_build_array',
  'jsonb_build_object', 'jsonb_object_agg', 'jsonb_set', 'justify_days', 'justify_hours', 'lag', 'last_value', 'lead',
  'least', 'left', 'length', 'ln', 'log', 'lower', 'lpad', 'ltrim', 'make_date', 'make_interval', 'make_time',
  'make_timestamp', 'max', 'md5', 'member_name', 'min', 'mod', 'now', 'ntile', 'nullif', 'num_nulls', 'octet_length',
  'overlay', 'percentile_cont', 'percentile_disc', 'pg_is_in_recovery', 'pg_sleep', 'pg_table_is_visible', 'position',
  'power', 'quote_ident', 'quote_literal', 'random', 'rank', 'regexp_match', 'regexp_matches', 'regexp_replace',
  'regexp_split_to_array', 'repeat', 'replace', 'reverse', 'right', 'round', 'row_number', 'row_to_json', 'rpad', 'rtrim',
  'sha256', 'sign', 'split_part', 'sqrt', 'starts_with', 'stddev', 'string_agg', 'string_to_array', 'strpos', 'substr',
  'substring', 'sum', 'to_char', 'to_date', 'to_json', 'to_jsonb', 'to_number', 'to_timestamp', 'translate', 'trim',
  'trunc', 'unnest', 'upper', 'variance', 'version', 'width_bucket'
])
