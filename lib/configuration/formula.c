#include "formula.h"
#include <math.h>

enum { DEEP = 16, NEST = 24 };
enum act { C_NUM = 1, C_NAME, C_ADD, C_SUB, C_MUL, C_DIV, C_MIN, C_MAX, C_NEG };
static const char *const names[F_VARIABLES] = {
  "penalty", "rate", "size", "megs", "slots", "idle"
};

typedef struct {
  GScanner *s;
  formula *formula;
  error *err;
  int depth, top, nest;
  int bad;
} maker;

static void sum(maker *m);

static void fail(maker *m, int code, const char *why) {
  if (m->bad)
    return;
  m->bad =
      error_set(m->err, code, "expression, near byte %u: %s", g_scanner_cur_position(m->s), why);
}

static void emit(maker *m, int code, int arg, int moves) {
  if (m->formula->code_length + 2 > FORMULA_CODE_MAX) {
    fail(m, E_TOO_LARGE, "too long");
    return;
  }
  m->formula->code[m->formula->code_length++] = code;
  if (code == C_NUM || code == C_NAME)
    m->formula->code[m->formula->code_length++] = arg;
  m->depth += moves;
  if (m->depth > DEEP)
    fail(m, E_TOO_LARGE, "too deep");
}

static bool take(maker *m, int token) {
  if (g_scanner_peek_next_token(m->s) != (GTokenType)token)
    return false;
  g_scanner_get_next_token(m->s);
  return true;
}

static void atom(maker *m) {
  if (m->bad)
    return;
  if (++m->nest > NEST) {
    fail(m, E_TOO_LARGE, "nested too deep");
    return;
  }
  GTokenType t = g_scanner_get_next_token(m->s);
  if (t == '-') {
    atom(m);
    emit(m, C_NEG, 0, 0);
  } else if (t == '(') {
    sum(m);
    if (!take(m, ')'))
      fail(m, E_FIELD, "a ) is missing");
  } else if (t == G_TOKEN_FLOAT) {
    if (m->formula->constant_count == FORMULA_CONSTANTS_MAX) {
      fail(m, E_TOO_LARGE, "too many numbers");
      return;
    }
    m->formula->constants[m->formula->constant_count] = m->s->value.v_float;
    emit(m, C_NUM, m->formula->constant_count++, 1);
  } else if (t == G_TOKEN_IDENTIFIER) {
    const char *n = m->s->value.v_identifier;
    int two = !strcmp(n, "min") ? C_MIN : !strcmp(n, "max") ? C_MAX : 0;
    if (two) {
      if (!take(m, '(')) {
        fail(m, E_FIELD, "min and max take (a,b)");
        return;
      }
      sum(m);
      if (!take(m, ',')) {
        fail(m, E_FIELD, "min and max take (a,b)");
        return;
      }
      sum(m);
      if (!take(m, ')')) {
        fail(m, E_FIELD, "a ) is missing");
        return;
      }
      emit(m, two, 0, -1);
    } else {
      int k = -1;
      for (int i = 0; i < F_VARIABLES; i++)
        if (!strcmp(n, names[i]))
          k = i;
      if (k < 0)
        fail(m, E_NAME, "there is no such name");
      else
        emit(m, C_NAME, k, 1);
    }
  } else
    fail(m, E_FIELD, "a value is missing");
  m->nest--;
}

static void product(maker *m) {
  atom(m);
  while (!m->bad) {
    if (take(m, '*')) {
      atom(m);
      emit(m, C_MUL, 0, -1);
    } else if (take(m, '/')) {
      atom(m);
      emit(m, C_DIV, 0, -1);
    } else
      return;
  }
}

static void sum(maker *m) {
  product(m);
  while (!m->bad) {
    if (take(m, '+')) {
      product(m);
      emit(m, C_ADD, 0, -1);
    } else if (take(m, '-')) {
      product(m);
      emit(m, C_SUB, 0, -1);
    } else
      return;
  }
}

int formula_compile(formula *formula, const char *text, error *err) {
  formula->code_length = formula->constant_count = 0;
  size_t n = strlen(text);
  if (!n || n > FORMULA_TEXT_MAX)
    return error_set(err, E_TOO_LARGE, "expression: 1 to %d bytes", FORMULA_TEXT_MAX);
  GScanner *s = g_scanner_new(NULL);
  s->config->cset_identifier_first = G_CSET_a_2_z G_CSET_A_2_Z;
  s->config->cset_identifier_nth = G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS;
  s->config->scan_identifier_1char = TRUE;
  s->config->scan_identifier_NULL = FALSE;
  s->config->int_2_float = TRUE;
  s->config->scan_octal = s->config->scan_hex = s->config->scan_hex_dollar =
      s->config->scan_binary = FALSE;
  s->config->scan_comment_multi = FALSE;
  s->config->skip_comment_single = FALSE;
  s->config->cpair_comment_single = "";
  s->config->scan_string_sq = s->config->scan_string_dq = FALSE;
  s->config->char_2_token = TRUE;
  s->msg_handler = NULL;
  g_scanner_input_text(s, text, n);
  maker m = { .s = s, .formula = formula, .err = err };
  sum(&m);
  if (!m.bad && g_scanner_get_next_token(s) != G_TOKEN_EOF)
    fail(&m, E_FIELD, "something stands behind the end");
  g_scanner_destroy(s);
  return m.bad;
}

double formula_evaluate(const formula *formula, const double vals[F_VARIABLES]) {
  double st[DEEP + 1];
  int n = 0;
  for (int i = 0; i < formula->code_length; i++) {
    switch (formula->code[i]) {
    case C_NUM:
      st[n++] = formula->constants[formula->code[++i]];
      break;
    case C_NAME:
      st[n++] = vals[formula->code[++i]];
      break;
    case C_NEG:
      st[n - 1] = -st[n - 1];
      break;
    case C_ADD:
      n--;
      st[n - 1] += st[n];
      break;
    case C_SUB:
      n--;
      st[n - 1] -= st[n];
      break;
    case C_MUL:
      n--;
      st[n - 1] *= st[n];
      break;
    case C_DIV:
      n--;
      st[n - 1] = st[n] == 0 ? NAN : st[n - 1] / st[n];
      break;
    case C_MIN:
      n--;
      st[n - 1] = fmin(st[n - 1], st[n]);
      break;
    case C_MAX:
      n--;
      st[n - 1] = fmax(st[n - 1], st[n]);
      break;
    }
  }
  return n == 1 && isfinite(st[0]) ? st[0] : 0;
}
