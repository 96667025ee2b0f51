#include "member_probe.h"

struct probe_list {
	GArray *probes;
	uint32_t next_probe_id;
};

/* Creates an empty list. Free it with probe_list_free. */
struct probe_list *probe_list_new(void)
{
	struct probe_list *list = g_new0(struct probe_list, 1);

	list->probes = g_array_new(FALSE, FALSE, sizeof(struct member_probe));
	return list;
}

/* Frees the list; NULL is allowed. */
void probe_list_free(struct probe_list *list)
{
	if (!list)
		return;
	g_array_free(list->probes, TRUE);
	g_free(list);
}

/*
 * Adds a probe with a new probe_id. Returns the stored probe, valid until the
 * list changes, or NULL if PROBE_COUNT_MAX probes are in flight.
 */
struct member_probe *probe_list_add(struct probe_list *list,
				    const struct member_probe *probe)
{
	struct member_probe *added;

	if (list->probes->len == PROBE_COUNT_MAX)
		return NULL;
	g_array_append_val(list->probes, *probe);
	added = probe_list_at(list, list->probes->len - 1);
	added->probe_id = ++list->next_probe_id;
	return added;
}

/* Returns the number of probes in flight. */
uint32_t probe_list_count(const struct probe_list *list)
{
	return list->probes->len;
}

/* Returns the probe at an index, valid until the list changes. */
struct member_probe *probe_list_at(const struct probe_list *list,
				   uint32_t index)
{
	return &g_array_index(list->probes, struct member_probe, index);
}

/*
 * Removes the probe that an acknowledgement belongs to and copies it to *probe.
 * Returns FALSE if there is none.
 */
gboolean probe_list_remove_acked(struct probe_list *list, uint32_t probe_id,
				 uint64_t subject_id,
				 struct member_probe *probe)
{
	for (uint32_t i = 0; i < list->probes->len; i++) {
		*probe = *probe_list_at(list, i);
		if (probe->probe_id != probe_id ||
		    probe->subject_id != subject_id)
			continue;
		probe_list_remove_at(list, i);
		return TRUE;
	}
	return FALSE;
}

/* Removes the probe at an index; later probes shift down by one. */
void probe_list_remove_at(struct probe_list *list, uint32_t index)
{
	g_array_remove_index(list->probes, index);
}

/* Removes every probe. */
void probe_list_clear(struct probe_list *list)
{
	g_array_set_size(list->probes, 0);
}

/*
 * Returns whether a probe of the member on this node's own behalf is in flight.
 */
gboolean probe_list_has_subject(const struct probe_list *list,
				uint64_t subject_id)
{
	for (uint32_t i = 0; i < list->probes->len; i++) {
		const struct member_probe *probe = probe_list_at(list, i);

		if (probe->subject_id == subject_id && probe->requester_id == 0)
			return TRUE;
	}
	return FALSE;
}
