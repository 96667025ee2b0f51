#ifndef DECIDE_RELAY_H
#define DECIDE_RELAY_H

#include <ctl/bench_report.h>

void decide_relay_report(struct bench_report *report);

#endif
