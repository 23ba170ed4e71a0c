/** Operators' expressions for the utility of keeping a model: a recursive-descent compiler to
 * one-byte opcodes, and a stack machine that runs them. Size, depth and time are bounded, since an
 * expression runs for every candidate of every eviction. */
#include "formula.h"
#include <math.h>

enum { STACK_MAX = 16, NESTING_MAX = 24 };
/** What a byte of the code does. OP_CONSTANT and OP_VARIABLE are followed by an index. */
enum opcode {
  OP_CONSTANT = 1,
  OP_VARIABLE,
  OP_ADD,
  OP_SUBTRACT,
  OP_MULTIPLY,
  OP_DIVIDE,
  OP_MIN,
  OP_MAX,
  OP_NEGATE
};
static const char *const variable_names[FORMULA_VARIABLES] = { "penalty", "rate",  "size",
                                                               "megs",    "slots", "idle" };

typedef struct {
  GScanner *scanner;
  formula *formula;
  error *err;
  /** Height of the stack after the code so far, and depth of the recursion. */
  int depth, nesting;
  /** The first error, or OK. */
  int code;
} compiler;

static void compile_sum(compiler *compiler);

static void set_failure(compiler *compiler, int code, const char *why) {
  if (compiler->code)
    return;
  compiler->code = error_set(compiler->err, code, "expression, near byte %u: %s",
                             g_scanner_cur_position(compiler->scanner), why);
}

static void emit_code(compiler *compiler, enum opcode opcode, int argument, int stack_change) {
  formula *formula = compiler->formula;
  if (formula->code_length + 2 > FORMULA_CODE_MAX) {
    set_failure(compiler, E_TOO_LARGE, "too long");
    return;
  }
  formula->code[formula->code_length++] = (unsigned char)opcode;
  if (opcode == OP_CONSTANT || opcode == OP_VARIABLE)
    formula->code[formula->code_length++] = (unsigned char)argument;
  compiler->depth += stack_change;
  if (compiler->depth > STACK_MAX)
    set_failure(compiler, E_TOO_LARGE, "too deep");
}

static bool accept_token(compiler *compiler, int token) {
  if (g_scanner_peek_next_token(compiler->scanner) != (GTokenType)token)
    return false;
  g_scanner_get_next_token(compiler->scanner);
  return true;
}

static void compile_constant(compiler *compiler) {
  formula *formula = compiler->formula;
  if (formula->constant_count == FORMULA_CONSTANTS_MAX) {
    set_failure(compiler, E_TOO_LARGE, "too many numbers");
    return;
  }
  formula->constants[formula->constant_count] = compiler->scanner->value.v_float;
  emit_code(compiler, OP_CONSTANT, formula->constant_count++, 1);
}

/* Compiles the two arguments of min or max, in parentheses. */
static void compile_call(compiler *compiler, enum opcode function) {
  if (!accept_token(compiler, '(')) {
    set_failure(compiler, E_FIELD, "min and max take (a,b)");
    return;
  }
  compile_sum(compiler);
  if (!accept_token(compiler, ',')) {
    set_failure(compiler, E_FIELD, "min and max take (a,b)");
    return;
  }
  compile_sum(compiler);
  if (!accept_token(compiler, ')')) {
    set_failure(compiler, E_FIELD, "a ) is missing");
    return;
  }
  emit_code(compiler, function, 0, -1);
}

static void compile_variable(compiler *compiler, const char *name) {
  for (int i = 0; i < FORMULA_VARIABLES; i++)
    if (!strcmp(name, variable_names[i])) {
      emit_code(compiler, OP_VARIABLE, i, 1);
      return;
    }
  set_failure(compiler, E_NAME, "there is no such name");
}

static void compile_identifier(compiler *compiler) {
  const char *name = compiler->scanner->value.v_identifier;
  if (!strcmp(name, "min"))
    compile_call(compiler, OP_MIN);
  else if (!strcmp(name, "max"))
    compile_call(compiler, OP_MAX);
  else
    compile_variable(compiler, name);
}

/* Compiles a number, a name, a call, a negation, or a sum in parentheses. */
static void compile_atom(compiler *compiler) {
  if (compiler->code)
    return;
  if (++compiler->nesting > NESTING_MAX) {
    set_failure(compiler, E_TOO_LARGE, "nested too deep");
    return;
  }
  GTokenType token = g_scanner_get_next_token(compiler->scanner);
  if (token == '-') {
    compile_atom(compiler);
    emit_code(compiler, OP_NEGATE, 0, 0);
  } else if (token == '(') {
    compile_sum(compiler);
    if (!accept_token(compiler, ')'))
      set_failure(compiler, E_FIELD, "a ) is missing");
  } else if (token == G_TOKEN_FLOAT)
    compile_constant(compiler);
  else if (token == G_TOKEN_IDENTIFIER)
    compile_identifier(compiler);
  else
    set_failure(compiler, E_FIELD, "a value is missing");
  compiler->nesting--;
}

static void compile_product(compiler *compiler) {
  compile_atom(compiler);
  while (!compiler->code) {
    if (accept_token(compiler, '*')) {
      compile_atom(compiler);
      emit_code(compiler, OP_MULTIPLY, 0, -1);
    } else if (accept_token(compiler, '/')) {
      compile_atom(compiler);
      emit_code(compiler, OP_DIVIDE, 0, -1);
    } else
      return;
  }
}

static void compile_sum(compiler *compiler) {
  compile_product(compiler);
  while (!compiler->code) {
    if (accept_token(compiler, '+')) {
      compile_product(compiler);
      emit_code(compiler, OP_ADD, 0, -1);
    } else if (accept_token(compiler, '-')) {
      compile_product(compiler);
      emit_code(compiler, OP_SUBTRACT, 0, -1);
    } else
      return;
  }
}

/* Creates a scanner for numbers, names and single characters. Free with g_scanner_destroy. */
static GScanner *scanner_new(const char *text, size_t length) {
  GScanner *scanner = g_scanner_new(NULL);
  GScannerConfig *config = scanner->config;
  config->cset_identifier_first = G_CSET_a_2_z G_CSET_A_2_Z;
  config->cset_identifier_nth = G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS;
  config->scan_identifier_1char = TRUE;
  config->scan_identifier_NULL = FALSE;
  config->int_2_float = TRUE;
  config->scan_octal = FALSE;
  config->scan_hex = FALSE;
  config->scan_hex_dollar = FALSE;
  config->scan_binary = FALSE;
  config->scan_comment_multi = FALSE;
  config->skip_comment_single = FALSE;
  config->cpair_comment_single = "";
  config->scan_string_sq = FALSE;
  config->scan_string_dq = FALSE;
  config->char_2_token = TRUE;
  scanner->msg_handler = NULL;
  g_scanner_input_text(scanner, text, (guint)length);
  return scanner;
}

enum error_code formula_compile(formula *formula, const char *text, error *err) {
  formula->code_length = formula->constant_count = 0;
  size_t length = strlen(text);
  if (!length || length > FORMULA_TEXT_MAX)
    return error_set(err, E_TOO_LARGE, "expression: 1 to %d bytes", FORMULA_TEXT_MAX);
  compiler compiler = { .scanner = scanner_new(text, length), .formula = formula, .err = err };
  compile_sum(&compiler);
  if (!compiler.code && g_scanner_get_next_token(compiler.scanner) != G_TOKEN_EOF)
    set_failure(&compiler, E_FIELD, "something stands behind the end");
  g_scanner_destroy(compiler.scanner);
  return compiler.code;
}

double formula_evaluate(const formula *formula, const double values[FORMULA_VARIABLES]) {
  double stack[STACK_MAX + 1];
  int height = 0;
  for (int i = 0; i < formula->code_length; i++) {
    switch (formula->code[i]) {
    case OP_CONSTANT:
      stack[height++] = formula->constants[formula->code[++i]];
      break;
    case OP_VARIABLE:
      stack[height++] = values[formula->code[++i]];
      break;
    case OP_NEGATE:
      stack[height - 1] = -stack[height - 1];
      break;
    case OP_ADD:
      height--;
      stack[height - 1] += stack[height];
      break;
    case OP_SUBTRACT:
      height--;
      stack[height - 1] -= stack[height];
      break;
    case OP_MULTIPLY:
      height--;
      stack[height - 1] *= stack[height];
      break;
    case OP_DIVIDE:
      height--;
      stack[height - 1] = stack[height] == 0 ? NAN : stack[height - 1] / stack[height];
      break;
    case OP_MIN:
      height--;
      stack[height - 1] = fmin(stack[height - 1], stack[height]);
      break;
    case OP_MAX:
      height--;
      stack[height - 1] = fmax(stack[height - 1], stack[height]);
      break;
    }
  }
  return height == 1 && isfinite(stack[0]) ? stack[0] : 0;
}
