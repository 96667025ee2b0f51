#ifndef CTL_BENCH_CLOCK_H
#define CTL_BENCH_CLOCK_H

double bench_clock_now_ns(void);

#endif
