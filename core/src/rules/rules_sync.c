#include <core/rules_sync.h>

enum sync_state {
	SYNC_IDLE,
	SYNC_READING,
	SYNC_WRITING,
	SYNC_RETRY_PENDING,
};

/* A write whose reply was lost, and the base to use if it took effect. */
struct unconfirmed_write {
	uint64_t change_id;
	struct rules_base *base;
};

struct rules_sync {
	struct rules_sync_options options;
	GRand *rand;
	enum sync_state state;
	struct rules_text *text;
	struct rules_base *base;
	struct rules_merge *merge;
	uint64_t change_id;
	GPtrArray *unconfirmed_writes;
	bool has_new_text;
};

static void free_unconfirmed_write(gpointer data)
{
	struct unconfirmed_write *write = data;

	rules_base_free(write->base);
	g_free(write);
}

/*
 * Makes a sync that owns the base; free it with rules_sync_free. The seed must
 * differ between operators, so that their change ids differ.
 */
struct rules_sync *rules_sync_new(const struct rules_sync_options *options,
				  struct rules_base *base)
{
	struct rules_sync *sync = g_new0(struct rules_sync, 1);
	guint32 seed[2] = {(guint32)options->seed,
			   (guint32)(options->seed >> 32)};

	sync->options = *options;
	sync->rand = g_rand_new_with_seed_array(seed, 2);
	sync->base = base;
	sync->unconfirmed_writes =
		g_ptr_array_new_with_free_func(free_unconfirmed_write);
	return sync;
}

/* Frees the sync; a write in progress may still take effect. */
void rules_sync_free(struct rules_sync *sync)
{
	if (!sync)
		return;
	g_rand_free(sync->rand);
	rules_text_free(sync->text);
	rules_base_free(sync->base);
	rules_merge_free(sync->merge);
	g_ptr_array_free(sync->unconfirmed_writes, TRUE);
	g_free(sync);
}

static void start_read(struct rules_sync *sync)
{
	sync->state = SYNC_READING;
	sync->has_new_text = false;
	sync->options.read(sync->options.context);
}

/*
 * Takes ownership of the file's new text and merges it as soon as no read,
 * write or retry is pending.
 */
void rules_sync_set_text(struct rules_sync *sync, struct rules_text *text)
{
	rules_text_free(sync->text);
	sync->text = text;
	sync->has_new_text = true;
	if (sync->state == SYNC_IDLE)
		start_read(sync);
}

/* Adopts the base of each unconfirmed write that took effect. */
static void resolve_unconfirmed_writes(struct rules_sync *sync,
				       const struct rules_document *document)
{
	for (guint i = 0; i < sync->unconfirmed_writes->len; i++) {
		const struct unconfirmed_write *write =
			g_ptr_array_index(sync->unconfirmed_writes, i);

		if (!rules_document_has_change(document, write->change_id))
			continue;
		rules_base_free(sync->base);
		sync->base = rules_base_copy(write->base);
	}
}

static uint64_t random_change_id(struct rules_sync *sync)
{
	return ((uint64_t)g_rand_int(sync->rand) << 32) |
	       g_rand_int(sync->rand);
}

static void finish(struct rules_sync *sync, const struct rules_merge *merge)
{
	rules_base_free(sync->base);
	sync->base = rules_base_copy(rules_merge_base(merge));
	sync->state = SYNC_IDLE;
	sync->options.report_outcomes(sync->options.context, merge, sync->base);
	if (sync->has_new_text && sync->state == SYNC_IDLE)
		start_read(sync);
}

/*
 * Handles the result of a read: merges the file, and writes the result if it
 * differs. If the key does not exist, pass an empty document and modification
 * revision 0. now_ms is wall-clock time.
 */
void rules_sync_handle_document(struct rules_sync *sync,
				const struct rules_document *document,
				int64_t mod_revision, uint64_t now_ms)
{
	struct rules_merge_options options = {
		.text = sync->text, .document = document, .now_ms = now_ms};
	struct rules_merge *merge;

	if (sync->state != SYNC_READING)
		return;
	resolve_unconfirmed_writes(sync, document);
	sync->change_id = random_change_id(sync);
	options.base = sync->base;
	options.change_id = sync->change_id;
	merge = rules_merge_new(&options);
	if (!rules_merge_has_change(merge)) {
		finish(sync, merge);
		rules_merge_free(merge);
		return;
	}
	sync->merge = merge;
	sync->state = SYNC_WRITING;
	sync->options.write(sync->options.context, rules_merge_document(merge),
			    mod_revision);
}

static void wait_for_retry(struct rules_sync *sync)
{
	sync->state = SYNC_RETRY_PENDING;
	sync->options.schedule_retry(sync->options.context);
}

/* Handles a failed read by scheduling a retry. */
void rules_sync_handle_read_failure(struct rules_sync *sync)
{
	if (sync->state == SYNC_READING)
		wait_for_retry(sync);
}

/*
 * Handles the result of a write. If the comparison failed, another operator
 * wrote first, and the file is merged again with the current document. Once a
 * write succeeds, any earlier unconfirmed write can no longer take effect, as
 * its comparison fails.
 */
void rules_sync_handle_write_result(struct rules_sync *sync, bool is_written)
{
	struct rules_merge *merge = g_steal_pointer(&sync->merge);

	if (sync->state == SYNC_WRITING && is_written) {
		g_ptr_array_set_size(sync->unconfirmed_writes, 0);
		finish(sync, merge);
	} else if (sync->state == SYNC_WRITING) {
		start_read(sync);
	}
	rules_merge_free(merge);
}

/*
 * Handles a lost reply to a write. The next read shows whether the write took
 * effect.
 */
void rules_sync_handle_unconfirmed_write(struct rules_sync *sync)
{
	struct rules_merge *merge = g_steal_pointer(&sync->merge);
	struct unconfirmed_write *write;

	if (sync->state != SYNC_WRITING)
		return;
	write = g_new0(struct unconfirmed_write, 1);
	write->change_id = sync->change_id;
	write->base = rules_base_copy(rules_merge_base(merge));
	g_ptr_array_add(sync->unconfirmed_writes, write);
	rules_merge_free(merge);
	wait_for_retry(sync);
}

/* Reads and merges again, after a failure or when idle. */
void rules_sync_retry(struct rules_sync *sync)
{
	if (sync->text &&
	    (sync->state == SYNC_RETRY_PENDING || sync->state == SYNC_IDLE))
		start_read(sync);
}

/* Returns whether no read, write or retry is pending. */
bool rules_sync_is_idle(const struct rules_sync *sync)
{
	return sync->state == SYNC_IDLE;
}
