#ifndef RELAY_ROOM_KEEPER_H
#define RELAY_ROOM_KEEPER_H

#include "relay_director_state.h"
#include "relay_request.h"

/*
 * Tells the admission what the director sees: the room of each service, the
 * requests of each class and how long targets take for them. A director has
 * one only while its routes state more than one priority.
 */
struct relay_room_keeper;

void relay_room_keeper_switch(struct relay_director *director);
void relay_room_keeper_free(struct relay_room_keeper *keeper);
void relay_room_keeper_sweep(struct relay_director *director, int64_t now_ms);
enum reason relay_room_keeper_check(struct relay_room_keeper *keeper,
				    uint32_t service_id, uint32_t priority,
				    const struct ip_addr *caller,
				    int64_t now_ms);
void relay_room_keeper_note_request(struct relay_director *director,
				    const struct relay_target *target,
				    uint32_t priority,
				    const struct relay_request_event *event,
				    const struct ip_addr *caller,
				    int64_t now_ms);
bool relay_room_keeper_is_short(const struct relay_room_keeper *keeper,
				uint32_t service_id);
uint32_t relay_room_keeper_short_count(const struct relay_room_keeper *keeper);

#endif
