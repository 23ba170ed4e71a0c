#ifndef CONFIGURATION_FORMULA_H
#define CONFIGURATION_FORMULA_H
/** Expressions by which operators define their own eviction policies (docs/paper.md). */
#include "base.h"

/** The names that an expression may use, in the order of their values. */
enum formula_variable {
  FORMULA_PENALTY,
  FORMULA_RATE,
  FORMULA_SIZE,
  FORMULA_MB,
  FORMULA_SLOTS,
  FORMULA_IDLE,
  FORMULA_VARIABLES
};
enum { FORMULA_CODE_MAX = 160, FORMULA_CONSTANTS_MAX = 32, FORMULA_TEXT_MAX = 400 };
/** A compiled expression for the utility of keeping a model: a bounded sequence of one-byte opcodes
 * for a small stack machine. */
typedef struct formula {
  id self;
  unsigned char code[FORMULA_CODE_MAX];
  double constants[FORMULA_CONSTANTS_MAX];
  int code_length, constant_count;
} formula;

/** Compiles an expression of numbers, names, + - * / ( ) min(a,b) and max(a,b). On an error the
 * formula must not be used, and err (not NULL) gives the approximate byte position. */
enum error_code formula_compile(formula *formula, const char *text, error *err);
/** Evaluates it. A result that is not finite, for example after a division by zero, counts as 0, so
 * that the model is evicted first. */
double formula_evaluate(const formula *formula, const double values[FORMULA_VARIABLES]);
#endif
