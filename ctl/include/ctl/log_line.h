#ifndef CTL_LOG_LINE_H
#define CTL_LOG_LINE_H

#include <glib.h>
#include <stdbool.h>

/*
 * A parsed line of a node's log: its time in seconds, the node and process that
 * wrote it, the task, the event and its fields.
 */
struct log_line;

struct log_line *log_line_parse(const char *text);
void log_line_free(struct log_line *line);
double log_line_time_s(const struct log_line *line);
const char *log_line_source(const struct log_line *line);
const char *log_line_task(const struct log_line *line);
const char *log_line_event(const struct log_line *line);
const char *log_line_field(const struct log_line *line, const char *name);
const char *log_line_text(const struct log_line *line);

#endif
