/** Tests of lib/configuration/formula.c: expressions are compiled, evaluated, and used as eviction
 * policies. Fleet: four routers and four engines. */
#include "scenario.h"
#include "tests.h"

static void check_invalid_expressions(fleet *fleet) {
  static const struct {
    const char *text;
    int code;
  } bad[] = { { "", E_TOO_LARGE },
              { "rate +", E_FIELD },
              { "rate * speed", E_NAME },
              { "(rate", E_FIELD },
              { "rate rate", E_FIELD },
              { "min(rate)", E_FIELD },
              { "rate / \"x\"", E_FIELD },
              { "((((((((((((((((((((((((((rate))))))))))))))))))))))))))", E_TOO_LARGE },
              { "1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+(1+1)))))))))))))))))",
                E_TOO_LARGE } };
  for (size_t i = 0; i < G_N_ELEMENTS(bad); i++) {
    formula compiled;
    error err = { 0 };
    int code = formula_compile(&compiled, bad[i].text, &err);
    if (code != bad[i].code)
      fleet_add_violation(fleet, "\"%s\" got %d %s", bad[i].text, code, err.text);
  }
}

static void check_values(fleet *fleet) {
  static const struct {
    const char *text;
    double value;
  } good[] = {
    { "1 + 2 * 3", 7 },         { "(1 + 2) * 3", 9 }, { "2 - 3 - 4", -5 },
    { "8 / 4 / 2", 1 },         { "-rate", -2 },      { "max(rate, size) + min(1, 0.5)", 4.5 },
    { "rate / (size - 4)", 0 }, { "0/0", 0 },         { "penalty*rate/size", 5 }
  };
  const double variables[FORMULA_VARIABLES] = {
    [FORMULA_PENALTY] = 10, [FORMULA_RATE] = 2, [FORMULA_SIZE] = 4
  };
  for (size_t i = 0; i < G_N_ELEMENTS(good); i++) {
    formula compiled;
    error err = { 0 };
    int code = formula_compile(&compiled, good[i].text, &err);
    if (code || formula_evaluate(&compiled, variables) != good[i].value)
      fleet_add_violation(fleet, "%s is %g (%s)", good[i].text,
                          code ? 0 : formula_evaluate(&compiled, variables), err.text);
  }
}

/* An expression is accepted as the eviction policy; an invalid one, and the removal of the one in
 * use, are rejected. */
static void put_expressions(fleet *fleet) {
  operator_call *call = fleet_call(
      fleet, fleet->controller[0], "PATCH", "/v1/policy",
      "{\"eviction\":\"mine\",\"utilities\":[{\"id\":\"mine\",\"worth\":\"penalty * rate / size\"}]}",
      NULL, NULL, time_from_ms(5000));
  if (call->status != 200)
    fleet_add_violation(fleet, "an expression as the eviction policy got %d %s", call->status,
                        call->body->str);
  operator_call_free(call);
  call = fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/policy",
                    "{\"utilities\":[{\"id\":\"mine\",\"worth\":\"speed\"}]}", NULL, NULL,
                    time_from_ms(5000));
  if (call->status != 400 || !strstr(call->body->str, "utilities[0].worth"))
    fleet_add_violation(fleet, "an invalid expression got %d %s", call->status, call->body->str);
  operator_call_free(call);
  call = fleet_call(fleet, fleet->controller[0], "PATCH", "/v1/policy", "{\"utilities\":null}",
                    NULL, NULL, time_from_ms(5000));
  if (call->status != 400)
    fleet_add_violation(fleet, "the removal of an expression in use got %d", call->status);
  operator_call_free(call);
}

static bool expressions_are_policies(fleet *fleet) {
  check_invalid_expressions(fleet);
  check_values(fleet);
  if (!fleet_bring_up(fleet))
    return false;
  put_expressions(fleet);
  fleet->callers->loadgen->plan.zipf_exponent = 0.3;
  fleet_run_traffic(fleet, 6, time_from_ms(15000));
  fleet_finish_traffic(fleet);
  return loadgen_count(fleet->callers->loadgen, OUTCOME_DONE) >
         (int)fleet->callers->loadgen->requests->len / 3;
}

const test_case formula_tests[] = {
  { "expressions_are_policies", expressions_are_policies, 4, 4, 50 }, { NULL, NULL, 0, 0, 0 }
};
