#ifndef CORE_RELAY_ADMISSION_H
#define CORE_RELAY_ADMISSION_H

#include <core/ip_addr.h>
#include <core/reason.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * The room of a service as this node knows it: the slots of all targets that
 * take new flows, the open flows of all nodes at them, and this node's own.
 */
struct relay_room {
	uint32_t service_id;
	uint64_t slot_count;
	uint64_t open_count;
	uint64_t own_open_count;
};

/*
 * Decides whether a new flow is admitted to its service. While the service has
 * room, every flow is. When the requests offered would need more slots than
 * there are, the room goes to the classes in order of priority, each class
 * keeps a part of it, and callers with more than their share get what is left.
 * The demand of a class is what this node sees: its rate of requests times the
 * time that targets take for one.
 */
struct relay_admission;

struct relay_admission *relay_admission_new(void);
void relay_admission_free(struct relay_admission *admission);
void relay_admission_set_room(struct relay_admission *admission,
			      const struct relay_room *room, int64_t now_ms);
void relay_admission_add_request(struct relay_admission *admission,
				 uint32_t service_id, uint32_t priority,
				 const struct ip_addr *caller, int64_t now_ms);
void relay_admission_add_duration(struct relay_admission *admission,
				  uint32_t service_id, uint32_t priority,
				  uint32_t duration_ms, int64_t now_ms);
enum reason relay_admission_check(struct relay_admission *admission,
				  uint32_t service_id, uint32_t priority,
				  const struct ip_addr *caller, int64_t now_ms);
bool relay_admission_is_short(const struct relay_admission *admission,
			      uint32_t service_id);

#endif
