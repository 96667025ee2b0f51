#ifndef FAKES_DRIVER_H
#define FAKES_DRIVER_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/*
 * Hands messages between instances of core under a virtual clock. It knows no
 * machine, link or scheduler: a message arrives after a delay, or never.
 */
struct driver;

/* What a row of a table does to the messages between two instances. */
struct driver_link {
	uint32_t delay_ms;
	uint32_t jitter_ms;
	uint32_t loss_ppm;
	uint32_t duplicate_ppm;
	bool is_cut;
};

/*
 * deliver gets each message and owns it; discard frees one that is lost;
 * duplicate copies one (NULL: never duplicated). A row that loses or doubles
 * messages draws from the seed, so the same seed gives the same run.
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
void driver_after(struct driver *driver, uint32_t delay_ms, void *context,
		  void (*fire)(void *context));
struct driver_link *driver_link(struct driver *driver, uint32_t from,
				uint32_t to);
void driver_pause(struct driver *driver, uint32_t instance, bool is_paused);
void driver_run_until(struct driver *driver, int64_t end_ms);

#endif
