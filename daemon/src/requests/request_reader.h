#ifndef REQUEST_READER_H
#define REQUEST_READER_H

#include <core/request_info.h>
#include <core/rule_set.h>
#include <event2/http.h>

#define STATUS_BAD_REQUEST 400
#define STATUS_MISDIRECTED_REQUEST 421

int request_reader_read(struct request_info *info,
			struct evhttp_request *request,
			const struct rule_set *rules, int64_t now_ms);

#endif
