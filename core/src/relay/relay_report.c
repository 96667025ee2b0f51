#include <core/relay_report.h>

#define MS_PER_S 1000

/* IPv4 and UDP headers. */
#define NETWORK_HEADER_BYTES 28

/* A report is valid until a second one in a row is missing. */
#define VALID_INTERVAL_COUNT 2
#define LATE_MS 500
#define VALID_MIN_MS 1500

/*
 * Returns how long the bandwidth for load reports takes to cover a report of
 * this length to so many nodes. The sender waits for so long before the next.
 */
uint32_t relay_report_interval_ms(uint32_t receiver_count,
				  uint32_t length_bytes, uint32_t bytes_per_s)
{
	return receiver_count * (length_bytes + NETWORK_HEADER_BYTES) *
	       MS_PER_S / bytes_per_s;
}

/*
 * Returns how long a report is valid whose sender may send the next one after
 * the interval. Later the sender has stopped, or does not reach this node.
 */
uint32_t relay_report_valid_ms(uint32_t interval_ms)
{
	uint32_t valid_ms = interval_ms * VALID_INTERVAL_COUNT + LATE_MS;

	return valid_ms > VALID_MIN_MS ? valid_ms : VALID_MIN_MS;
}
