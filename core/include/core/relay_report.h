#ifndef CORE_RELAY_REPORT_H
#define CORE_RELAY_REPORT_H

#include <stdint.h>

uint32_t relay_report_interval_ms(uint32_t receiver_count,
				  uint32_t length_bytes, uint32_t bytes_per_s);
uint32_t relay_report_valid_ms(uint32_t interval_ms);

#endif
