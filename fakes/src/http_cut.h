#ifndef HTTP_CUT_H
#define HTTP_CUT_H

#include <event2/http.h>

void http_cut(struct evhttp_request *request);
void http_cut_prepare(void);

#endif
