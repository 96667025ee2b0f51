#ifndef FEED_NEWS_H
#define FEED_NEWS_H

#include <daemon/news_message.h>
#include <platform/kv_mirror.h>
#include <task/log.h>

struct news_message *feed_news_from(const struct kv_reply *reply, bool is_whole,
				    const struct kv_mirror *mirror,
				    struct log *log);

#endif
