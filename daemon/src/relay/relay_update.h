#ifndef RELAY_UPDATE_H
#define RELAY_UPDATE_H

#include <core/relay_directory.h>
#include <core/relay_evacuations.h>
#include <daemon/store_update_message.h>
#include <task/log.h>

void relay_update_apply_targets(struct relay_directory *directory,
				const struct store_update_message *update,
				struct log *log, int64_t now_ms);
void relay_update_apply_evacuations(struct relay_evacuations *evacuations,
				    const struct store_update_message *update,
				    struct log *log);

#endif
