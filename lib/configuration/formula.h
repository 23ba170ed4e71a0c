#ifndef COMMON_FORMULA_H
#define COMMON_FORMULA_H
#include "base.h"

/** The names that an expression may use, in the order of their values. */
enum formula_name { F_PENALTY, F_RATE, F_SIZE, F_MEGS, F_SLOTS, F_IDLE, F_NAMES };
enum { FORMULA_CODE = 160, FORMULA_NUMS = 32, FORMULA_TEXT = 400 };
/** A policy's worth, compiled: a bounded run of one-byte steps over a small stack. */
typedef struct formula {
  id self;
  unsigned char code[FORMULA_CODE];
  double nums[FORMULA_NUMS];
  int len, count;
} formula;

/** Compiles an expression of numbers, names, + - * / ( ) min(a,b) and max(a,b). */
int formula_make(formula *formula, const char *text, error *err);
/** Runs it. What is not a finite number, as after a division by zero, counts as 0: such a thing
 * goes first. */
double formula_run(const formula *formula, const double vals[F_NAMES]);
#endif
