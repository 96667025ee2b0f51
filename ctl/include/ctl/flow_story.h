#ifndef CTL_FLOW_STORY_H
#define CTL_FLOW_STORY_H

#include <ctl/log_line.h>

/*
 * The lines of one flow out of the logs of one or many nodes, in order, and
 * those on its targets; and the first that tells what went wrong. The lines
 * belong to who made them.
 */
struct flow_story;

struct flow_story *flow_story_new(const char *id, const GPtrArray *lines);
void flow_story_free(struct flow_story *story);
const GPtrArray *flow_story_lines(const struct flow_story *story);
const struct log_line *flow_story_odd_line(const struct flow_story *story);
const char *flow_story_cause(const struct flow_story *story);

#endif
