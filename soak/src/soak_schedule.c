#include <soak/soak_schedule.h>

#include <soak/soak_error.h>
#include <stdio.h>

/* Time without faults at the start, as a baseline for the report. */
#define FIRST_FAULT_MS 2000
/* Faults start in bursts with gaps between them, and may overlap. */
#define BURST_FAULT_COUNT_MAX 5
#define BURST_INTERVAL_MAX_MS 900
#define BURST_GAP_MIN_MS 1000
#define BURST_GAP_MAX_MS 9000
/* Much larger than the number of nodes or hosts, for an even distribution. */
#define SUBJECT_COUNT 1000
#define KIND_BYTES 32

struct soak_schedule {
	GArray *faults;
};

static struct soak_schedule *schedule_new(void)
{
	struct soak_schedule *schedule = g_new0(struct soak_schedule, 1);

	schedule->faults = g_array_new(FALSE, FALSE, sizeof(struct soak_fault));
	return schedule;
}

/* Frees a schedule; NULL is allowed. */
void soak_schedule_free(struct soak_schedule *schedule)
{
	if (!schedule)
		return;
	g_array_free(schedule->faults, TRUE);
	g_free(schedule);
}

static enum soak_fault_kind draw_kind(GRand *rand)
{
	uint32_t weight_sum = 0;
	uint32_t drawn;

	for (int i = 0; i < SOAK_FAULT_KIND_COUNT; i++)
		weight_sum += soak_fault_spec((enum soak_fault_kind)i)->weight;
	drawn = (uint32_t)g_rand_int_range(rand, 0, (gint32)weight_sum);
	for (int i = 0; i < SOAK_FAULT_KIND_COUNT; i++) {
		uint32_t weight =
			soak_fault_spec((enum soak_fault_kind)i)->weight;

		if (drawn < weight)
			return (enum soak_fault_kind)i;
		drawn -= weight;
	}
	return SOAK_NODE_KILL;
}

static struct soak_fault draw_fault(GRand *rand, uint32_t at_ms)
{
	enum soak_fault_kind kind = draw_kind(rand);
	const struct soak_fault_spec *spec = soak_fault_spec(kind);

	return (struct soak_fault){
		.at_ms = at_ms,
		.kind = kind,
		.subject = g_rand_int(rand) % SUBJECT_COUNT,
		.duration_ms = (uint32_t)g_rand_int_range(
			rand, (gint32)spec->duration_min_ms,
			(gint32)spec->duration_max_ms + 1),
	};
}

/* Draws a random schedule. Free it with soak_schedule_free. */
struct soak_schedule *soak_schedule_draw(uint64_t seed, uint32_t duration_ms)
{
	struct soak_schedule *schedule = schedule_new();
	GRand *rand = g_rand_new_with_seed((guint32)seed);
	uint32_t at_ms = FIRST_FAULT_MS;

	while (at_ms < duration_ms) {
		int count =
			g_rand_int_range(rand, 1, BURST_FAULT_COUNT_MAX + 1);

		for (int i = 0; i < count && at_ms < duration_ms; i++) {
			struct soak_fault fault = draw_fault(rand, at_ms);

			g_array_append_val(schedule->faults, fault);
			at_ms += (uint32_t)g_rand_int_range(
				rand, 0, BURST_INTERVAL_MAX_MS);
		}
		at_ms += (uint32_t)g_rand_int_range(rand, BURST_GAP_MIN_MS,
						    BURST_GAP_MAX_MS);
	}
	g_rand_free(rand);
	return schedule;
}

static bool parse_line(struct soak_fault *fault, const char *line)
{
	char kind[KIND_BYTES];

	return sscanf(line, "%u %31s %u %u", &fault->at_ms, kind,
		      &fault->subject, &fault->duration_ms) == 4 &&
	       soak_fault_find(&fault->kind, kind);
}

/*
 * Parses a schedule; ignores lines that are empty or begin with #. Free it with
 * soak_schedule_free. Fails with SOAK_ERROR_SCHEDULE.
 */
struct soak_schedule *soak_schedule_parse(const char *text, GError **error)
{
	struct soak_schedule *schedule = schedule_new();
	char **lines = g_strsplit(text, "\n", -1);
	bool is_parsed = true;

	for (char **line = lines; is_parsed && *line; line++) {
		struct soak_fault fault;

		if (**line == '\0' || **line == '#')
			continue;
		is_parsed = parse_line(&fault, *line);
		if (is_parsed)
			g_array_append_val(schedule->faults, fault);
		else
			g_set_error(error, SOAK_ERROR, SOAK_ERROR_SCHEDULE,
				    "schedule: expected TIME_MS KIND SUBJECT "
				    "DURATION_MS, found \"%s\"",
				    *line);
	}
	g_strfreev(lines);
	if (is_parsed)
		return schedule;
	soak_schedule_free(schedule);
	return NULL;
}

/*
 * Copies a schedule without count faults from first on. Free the copy with
 * soak_schedule_free.
 */
struct soak_schedule *
soak_schedule_without(const struct soak_schedule *original, uint32_t first,
		      uint32_t count)
{
	struct soak_schedule *schedule = schedule_new();

	for (uint32_t i = 0; i < original->faults->len; i++) {
		if (i >= first && i - first < count)
			continue;
		g_array_append_val(schedule->faults,
				   *soak_schedule_at(original, i));
	}
	return schedule;
}

/* Returns the number of faults. */
uint32_t soak_schedule_count(const struct soak_schedule *schedule)
{
	return schedule->faults->len;
}

/* Returns the fault at index. */
const struct soak_fault *soak_schedule_at(const struct soak_schedule *schedule,
					  uint32_t index)
{
	return &g_array_index(schedule->faults, struct soak_fault, index);
}

/* Returns when the last fault ends; at least FIRST_FAULT_MS. */
uint32_t soak_schedule_end_ms(const struct soak_schedule *schedule)
{
	uint32_t end_ms = FIRST_FAULT_MS;

	for (uint32_t i = 0; i < schedule->faults->len; i++) {
		const struct soak_fault *fault = soak_schedule_at(schedule, i);

		end_ms = MAX(end_ms, fault->at_ms + fault->duration_ms);
	}
	return end_ms;
}

/* Returns the schedule as text. Free it with g_free. */
char *soak_schedule_text(const struct soak_schedule *schedule)
{
	GString *text = g_string_new(NULL);

	for (uint32_t i = 0; i < schedule->faults->len; i++) {
		const struct soak_fault *fault = soak_schedule_at(schedule, i);

		g_string_append_printf(text, "%u %s %u %u\n", fault->at_ms,
				       soak_fault_spec(fault->kind)->name,
				       fault->subject, fault->duration_ms);
	}
	return g_string_free(text, FALSE);
}
