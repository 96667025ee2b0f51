#include <ctl/bench.h>

#include <core/target_rank.h>
#include <ctl/bench_clock.h>

#define ROUND_COUNT 1000000
#define TARGET_COUNT 15
#define NEW_FLOW_BOUND_NS 2000

static double measure_rank_ns(void)
{
	struct target targets[TARGET_COUNT] = {{.target_id = 0}};
	struct flow_key key = {.protocol = 6};
	volatile uint64_t sink = 0;
	double start_ns;

	for (uint32_t i = 0; i < TARGET_COUNT; i++) {
		targets[i].target_id = i + 1;
		targets[i].weight = 1;
	}
	start_ns = bench_clock_now_ns();
	for (uint32_t i = 0; i < ROUND_COUNT; i++) {
		key.caller.addr = ip_addr_from_v4(i);
		sink += target_rank_first(targets, TARGET_COUNT,
					  flow_key_print(&key, 0))
				->target_id;
	}
	return (bench_clock_now_ns() - start_ns) / ROUND_COUNT;
}

static void run(struct bench_report *report)
{
	bench_report_figure(report, "new_flow_rank", measure_rank_ns(), "ns",
			    BOUND_AT_MOST, NEW_FLOW_BOUND_NS);
}

const struct bench bench_decide = {
	"decide", "cost of one decision on one core, virtual input", run};
