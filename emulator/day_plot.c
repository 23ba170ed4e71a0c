/** Plot of a day: a line for the requests sent, a line for the requests served of each result, and
 * the faults as shaded spans. */
#include "day_plot.h"
#include <stdio.h>

/* sizes in pixels, and the numbers of labels of the axes */
enum { PLOT_WIDTH = 800, PLOT_HEIGHT = 300, LEFT = 50, TOP = 40, BOTTOM = 40, RIGHT = 30 };
enum { Y_LABELS = 4, X_LABELS = 8 };

static const char SENT_COLOUR[] = "#999", FIRST_COLOUR[] = "#06c", SECOND_COLOUR[] = "#c30",
                  AXIS_COLOUR[] = "#444";

typedef struct plot {
  GString *to;
  size_t steps;
  double max_count; /* of requests in one step: the top of the y axis */
  double seconds;   /* the end of the x axis */
} plot;

static double count_of(const day_step *step, bool sent) {
  return (double)(sent ? step->sent : step->served);
}

static void append_line(const plot *plot, const day_result *result, const char *colour,
                        const char *dash, bool sent) {
  g_string_append_printf(plot->to,
                         "<polyline fill=\"none\" stroke=\"%s\" stroke-width=\"1.5\"%s points=\"",
                         colour, dash);
  for (size_t i = 0; i < result->step_count; i++) {
    double x = LEFT + (double)PLOT_WIDTH * (double)i / (double)MAX(plot->steps - 1, 1);
    double y = TOP + PLOT_HEIGHT * (1 - count_of(&result->step_counts[i], sent) / plot->max_count);
    g_string_append_printf(plot->to, "%s%.1f,%.1f", i ? " " : "", x, y);
  }
  g_string_append(plot->to, "\"/>\n");
}

static void append_label(const plot *plot, double x, double y, const char *colour,
                         const char *label) {
  char *escaped = g_markup_escape_text(label, -1);
  g_string_append_printf(plot->to, "<text x=\"%.0f\" y=\"%.0f\" fill=\"%s\">%s</text>\n", x, y,
                         colour, escaped);
  g_free(escaped);
}

static double max_sent(const day_result *result, double max) {
  for (size_t i = 0; i < result->step_count; i++)
    max = MAX(max, result->step_counts[i].sent);
  return max;
}

static plot plot_of(const day_result *first, const day_result *second, GString *to) {
  plot plot = { .to = to, .steps = first->step_count, .max_count = max_sent(first, 1) };
  if (second) {
    plot.steps = MAX(plot.steps, second->step_count);
    plot.max_count = max_sent(second, plot.max_count);
  }
  plot.seconds = (double)(MAX(plot.steps, 2) - 1) * DAY_STEP_MS / 1000;
  return plot;
}

static void append_head(const plot *plot, const day *day) {
  char title[160];
  g_string_append_printf(
      plot->to,
      "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" height=\"%d\" font-family=\"sans-serif\" font-size=\"12\">\n<rect width=\"100%%\" height=\"100%%\" fill=\"white\"/>\n",
      LEFT + PLOT_WIDTH + RIGHT, TOP + PLOT_HEIGHT + BOTTOM);
  snprintf(title, sizeof title, "%s: requests served per %d s", day->name, DAY_STEP_MS / 1000);
  append_label(plot, LEFT, 16, "black", title);
}

static void append_axes(const plot *plot) {
  char label[32];
  for (int i = 0; i <= Y_LABELS; i++) {
    double y = TOP + PLOT_HEIGHT * (1 - i / (double)Y_LABELS);
    g_string_append_printf(plot->to,
                           "<line x1=\"%d\" y1=\"%.1f\" x2=\"%d\" y2=\"%.1f\" stroke=\"#ddd\"/>\n",
                           LEFT, y, LEFT + PLOT_WIDTH, y);
    snprintf(label, sizeof label, "%.0f", plot->max_count * i / Y_LABELS);
    append_label(plot, 8, y + 4, AXIS_COLOUR, label);
  }
  for (int i = 0; i <= X_LABELS; i++) {
    double x = LEFT + PLOT_WIDTH * i / (double)X_LABELS;
    snprintf(label, sizeof label, "%.0f s", plot->seconds * i / X_LABELS);
    append_label(plot, x - 8, TOP + PLOT_HEIGHT + 18, AXIS_COLOUR, label);
  }
}

static void append_fault(const plot *plot, const day_fault *fault) {
  double x = LEFT + PLOT_WIDTH * MIN(1, fault->at_s / plot->seconds);
  double remaining_s = MAX(0, plot->seconds - fault->at_s);
  double width = PLOT_WIDTH * MIN(fault->duration_s, remaining_s) / plot->seconds;
  g_string_append_printf(
      plot->to,
      "<rect x=\"%.1f\" y=\"%d\" width=\"%.1f\" height=\"%d\" fill=\"#fa8\" fill-opacity=\"0.25\"><title>%s</title></rect>\n",
      x, TOP, MAX(width, 1.5), PLOT_HEIGHT, day_fault_names[fault->kind]);
}

void day_plot_append(const day *day, const day_result *first, const char *first_name,
                     const day_result *second, const char *second_name, GString *to) {
  plot plot = plot_of(first, second, to);
  append_head(&plot, day);
  append_axes(&plot);
  for (size_t i = 0; i < day->fault_count; i++)
    append_fault(&plot, &day->faults[i]);
  append_line(&plot, first, SENT_COLOUR, " stroke-dasharray=\"3,3\"", true);
  append_line(&plot, first, FIRST_COLOUR, "", false);
  append_label(&plot, LEFT, 32, SENT_COLOUR, "sent");
  append_label(&plot, LEFT + 50, 32, FIRST_COLOUR, first_name);
  if (second) {
    append_line(&plot, second, SECOND_COLOUR, "", false);
    append_label(&plot, LEFT + 350, 32, SECOND_COLOUR, second_name);
  }
  g_string_append(to, "</svg>\n");
}
