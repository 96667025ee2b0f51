#ifndef CONFIG_DELTAS_H
#define CONFIG_DELTAS_H

#include <core/config_message.h>
#include <core/rules_document.h>

GPtrArray *config_deltas_new(const struct rules_document *document,
			     uint64_t since_revision);

#endif
