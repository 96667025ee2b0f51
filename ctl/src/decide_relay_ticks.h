#ifndef DECIDE_RELAY_TICKS_H
#define DECIDE_RELAY_TICKS_H

#include <ctl/bench_report.h>

void decide_relay_ticks_report(struct bench_report *report);

#endif
