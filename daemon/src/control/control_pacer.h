#ifndef CONTROL_PACER_H
#define CONTROL_PACER_H

#include "control_family.h"
#include "outgoing_message.h"

/*
 * Limits the rate of outgoing messages by a byte budget, with a bounded queue
 * for each family. A full queue rejects new messages: their senders resend
 * those that peers still need.
 */
struct control_pacer;

#define CONTROL_PACER_IDLE UINT32_MAX

struct control_pacer *control_pacer_new(uint32_t rate_bytes_per_s,
					int64_t now_ms);
void control_pacer_free(struct control_pacer *pacer);
bool control_pacer_add(struct control_pacer *pacer, enum control_family family,
		       struct outgoing_message *outgoing);
struct outgoing_message *control_pacer_take(struct control_pacer *pacer,
					    enum control_family *family,
					    int64_t now_ms);
uint32_t control_pacer_wait_ms(struct control_pacer *pacer, int64_t now_ms);

#endif
