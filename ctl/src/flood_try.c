#include "flood_try.h"

#include <glib.h>

/* Creates a request with one reference; it holds one to its operation. */
struct flood_try *flood_try_new(struct flood_work *work, uint64_t try_id)
{
	struct flood_try *trial = g_new0(struct flood_try, 1);

	trial->try_id = try_id;
	trial->work = work;
	trial->is_open = true;
	trial->refs = 1;
	work->refs++;
	work->try_count++;
	return trial;
}

/* Adds a reference. */
struct flood_try *flood_try_ref(struct flood_try *trial)
{
	trial->refs++;
	return trial;
}

/* Drops a reference; frees the request, then its operation, at 0 references. */
void flood_try_unref(struct flood_try *trial)
{
	struct flood_work *work = trial->work;

	if (--trial->refs > 0)
		return;
	g_free(trial);
	if (--work->refs == 0)
		g_free(work);
}
