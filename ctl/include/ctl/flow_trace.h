#ifndef CTL_FLOW_TRACE_H
#define CTL_FLOW_TRACE_H

#include <ctl/log_line.h>

/*
 * The log lines of one flow and of its targets, from the logs of one or more
 * nodes, sorted by time. The cause line is the one that best explains why the
 * flow failed. The trace does not own the lines.
 */
struct flow_trace;

struct flow_trace *flow_trace_new(const char *id, const GPtrArray *lines);
void flow_trace_free(struct flow_trace *trace);
const GPtrArray *flow_trace_lines(const struct flow_trace *trace);
const struct log_line *flow_trace_cause_line(const struct flow_trace *trace);
const char *flow_trace_cause(const struct flow_trace *trace);

#endif
