#ifndef FAKES_DRIVER_H
#define FAKES_DRIVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Discrete-event simulator that delivers messages between instances of core
 * under a virtual clock. A message arrives after its link's delay or is lost;
 * sockets, threads and real time play no part.
 */
struct driver;

/*
 * Delay, jitter, loss and duplication of messages from one instance to another.
 * A cut link loses every message.
 */
struct driver_link {
	uint32_t delay_ms;
	uint32_t jitter_ms;
	uint32_t loss_ppm;
	uint32_t duplicate_ppm;
	bool is_cut;
};

/*
 * deliver takes ownership of each message that arrives; discard frees a lost
 * one; duplicate copies one (NULL: messages are never duplicated). Loss,
 * duplication and jitter are drawn from a generator with the given seed, so the
 * same seed gives the same run.
 */
struct driver_options {
	uint32_t instance_count;
	uint64_t seed;
	struct driver_link link;
	void *context;
	void (*deliver)(void *context, uint32_t from, uint32_t to,
			void *message);
	void (*discard)(void *message);
	void *(*duplicate)(const void *message);
};

struct driver *driver_new(const struct driver_options *options);
void driver_free(struct driver *driver);
int64_t driver_now_ms(const struct driver *driver);
GRand *driver_rand(struct driver *driver);
void driver_send(struct driver *driver, uint32_t from, uint32_t to,
		 void *message);
void driver_schedule(struct driver *driver, uint32_t delay_ms, void *context,
		     void (*callback)(void *context));
struct driver_link *driver_link(struct driver *driver, uint32_t from,
				uint32_t to);
void driver_pause(struct driver *driver, uint32_t instance, bool is_paused);
void driver_run_until(struct driver *driver, int64_t end_ms);

#endif
