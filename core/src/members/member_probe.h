#ifndef MEMBER_PROBE_H
#define MEMBER_PROBE_H

#include <glib.h>
#include <stdint.h>

enum probe_stage {
	PROBE_DIRECT,
	PROBE_INDIRECT,
};

/*
 * A probe in flight. If requester_id is set, the probe is made for another
 * node: its acknowledgement is forwarded to that node, and if it times out, the
 * subject does not become suspect.
 */
struct member_probe {
	uint32_t probe_id;
	enum probe_stage stage;
	uint64_t subject_id;
	int64_t started_ms;
	uint64_t requester_id;
	uint32_t requester_probe_id;
};

#define PROBE_COUNT_MAX 256

/* The probes in flight, oldest first. */
struct probe_list;

struct probe_list *probe_list_new(void);
void probe_list_free(struct probe_list *list);
struct member_probe *probe_list_add(struct probe_list *list,
				    const struct member_probe *probe);
uint32_t probe_list_count(const struct probe_list *list);
struct member_probe *probe_list_at(const struct probe_list *list,
				   uint32_t index);
gboolean probe_list_remove_acked(struct probe_list *list, uint32_t probe_id,
				 uint64_t subject_id,
				 struct member_probe *probe);
void probe_list_remove_at(struct probe_list *list, uint32_t index);
void probe_list_clear(struct probe_list *list);
gboolean probe_list_has_subject(const struct probe_list *list,
				uint64_t subject_id);

#endif
