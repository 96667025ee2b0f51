#include "member_probe.h"

struct probe_list {
	GArray *probes;
	uint32_t next_probe_id;
};

/* Makes an empty list; the caller frees it with probe_list_free. */
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
 * Adds a probe under a number of its own and returns it, valid until the list
 * changes, or NULL when PROBE_COUNT_MAX probes are under way.
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

/* Returns the number of probes under way. */
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

/* Takes out the probe that an acknowledgement answers, if there is one. */
gboolean probe_list_take_acked(struct probe_list *list, uint32_t probe_id,
			       uint64_t target_id, struct member_probe *probe)
{
	for (uint32_t i = 0; i < list->probes->len; i++) {
		*probe = *probe_list_at(list, i);
		if (probe->probe_id != probe_id ||
		    probe->target_id != target_id)
			continue;
		probe_list_remove_at(list, i);
		return TRUE;
	}
	return FALSE;
}

/* Removes the probe at an index; later ones move up. */
void probe_list_remove_at(struct probe_list *list, uint32_t index)
{
	g_array_remove_index(list->probes, index);
}

/* Removes every probe. */
void probe_list_clear(struct probe_list *list)
{
	g_array_set_size(list->probes, 0);
}

/* Tells whether this node waits for the member on its own behalf. */
gboolean probe_list_has_target(const struct probe_list *list,
			       uint64_t target_id)
{
	for (uint32_t i = 0; i < list->probes->len; i++) {
		const struct member_probe *probe = probe_list_at(list, i);

		if (probe->target_id == target_id && probe->requester_id == 0)
			return TRUE;
	}
	return FALSE;
}
