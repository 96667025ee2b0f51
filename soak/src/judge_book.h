#ifndef JUDGE_BOOK_H
#define JUDGE_BOOK_H

#include <fakes/flow_event.h>
#include <glib.h>
#include <soak/soak_fact.h>

/* A host, one for each of its starts. */
struct judged_host {
	uint32_t service;
	bool is_draining;
	bool is_gone;
	int64_t changed_ms;
};

/* An address that callers use, in force or not. */
struct judged_route {
	struct endpoint address;
	uint32_t service;
	/* All services that it ever had, a bit each. */
	uint64_t service_bits;
	bool is_present;
	int64_t changed_ms;
	uint32_t version;
};

/* A flow as its host sees it, until another caller's flow has its name. */
struct judged_flow {
	uint32_t host;
	bool is_open;
	uint32_t stray_count;
};

/* What the judge knows of hosts, routes and flows. */
struct judge_book;

struct judge_book *judge_book_new(void);
void judge_book_free(struct judge_book *book);
void judge_book_note(struct judge_book *book, const struct soak_fact *fact);
const struct judged_host *judge_book_host(const struct judge_book *book,
					  uint32_t host);
const struct judged_route *judge_book_route(const struct judge_book *book,
					    const struct endpoint *address);
struct judged_flow *judge_book_flow(struct judge_book *book,
				    const struct endpoint *caller);
bool judged_route_had(const struct judged_route *route, uint32_t service);
uint32_t judge_book_count_run(struct judge_book *book, uint64_t request_id);

#endif
