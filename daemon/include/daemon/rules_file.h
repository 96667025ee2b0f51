#ifndef DAEMON_RULES_FILE_H
#define DAEMON_RULES_FILE_H

#include <core/rule_set.h>

struct rule_set *rules_file_read(const char *path, GError **error);

#endif
