#include <ctl/bench_clock.h>

#include <time.h>

#define NS_PER_S 1000000000.0

/* Returns CLOCK_MONOTONIC in ns, for benchmarks that measure real time. */
double bench_clock_now_ns(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)now.tv_sec * NS_PER_S + (double)now.tv_nsec;
}
