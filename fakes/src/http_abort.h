#ifndef HTTP_ABORT_H
#define HTTP_ABORT_H

#include <event2/http.h>

void http_abort(struct evhttp_request *request);
void http_abort_block_sigpipe(void);

#endif
