#ifndef FEED_UPDATE_H
#define FEED_UPDATE_H

#include <daemon/store_update_message.h>
#include <platform/kv_mirror.h>
#include <task/log.h>

struct store_update_message *
feed_update_from_reply(const struct kv_reply *reply, bool is_snapshot,
		       const struct kv_mirror *mirror, struct log *log);

#endif
