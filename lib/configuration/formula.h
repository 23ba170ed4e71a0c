#ifndef CONFIGURATION_FORMULA_H
#define CONFIGURATION_FORMULA_H
/** Expressions that operators write for an eviction policy of their own (docs/paper.md). */
#include "base.h"

/** The names that an expression may use, in the order of their values. */
enum formula_variable { F_PENALTY, F_RATE, F_SIZE, F_MB, F_SLOTS, F_IDLE, F_VARIABLES };
enum { FORMULA_CODE_MAX = 160, FORMULA_CONSTANTS_MAX = 32, FORMULA_TEXT_MAX = 400 };
/** The utility of keeping a model, compiled: a bounded run of one-byte codes over a small stack. */
typedef struct formula {
  id self;
  unsigned char code[FORMULA_CODE_MAX];
  double constants[FORMULA_CONSTANTS_MAX];
  int code_length, constant_count;
} formula;

/** Compiles an expression of numbers, names, + - * / ( ) min(a,b) and max(a,b). On an error the
 * formula is of no use, and err (not NULL) tells near which byte. */
enum error_code formula_compile(formula *formula, const char *text, error *err);
/** Runs it. What is not a finite number, as after a division by zero, counts as 0: such a thing
 * goes first. */
double formula_evaluate(const formula *formula, const double values[F_VARIABLES]);
#endif
