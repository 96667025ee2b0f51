#ifndef SOAK_HOSTS_H
#define SOAK_HOSTS_H

#include "checker_task.h"
#include "soak_timers.h"

#include <fakes/fake_kv.h>
#include <fakes/faulty_node.h>

/* The fake hosts of a run, which start, drain, crash and restart. */
struct soak_hosts;

/* faulty_node, if not NULL, is a fake node that is told of each host event. */
struct soak_hosts_options {
	uint32_t service_count;
	uint32_t hosts_per_service;
	uint32_t response_delay_ms;
	bool is_executing_duplicates;
	struct fake_kv *kv;
	struct checker_task *checker;
	struct soak_timers *timers;
	struct faulty_node *faulty_node;
};

struct soak_hosts *soak_hosts_new(const struct soak_hosts_options *options,
				  GError **error);
void soak_hosts_free(struct soak_hosts *hosts);
void soak_hosts_replace(struct soak_hosts *hosts, uint32_t subject,
			int64_t now_ms);
void soak_hosts_crash(struct soak_hosts *hosts, uint32_t subject,
		      uint32_t duration_ms, int64_t now_ms);
void soak_hosts_reuse_address(struct soak_hosts *hosts, uint32_t subject,
			      int64_t now_ms);
void soak_hosts_write_foreign_entry(struct soak_hosts *hosts, uint32_t subject,
				    uint32_t duration_ms, int64_t now_ms);
bool soak_hosts_can_evacuate(const struct soak_hosts *hosts, uint32_t zone);
void soak_hosts_set_evacuated(struct soak_hosts *hosts, uint32_t zone,
			      bool is_evacuated);
void soak_hosts_remove_entries(struct soak_hosts *hosts);
void soak_hosts_register_again(struct soak_hosts *hosts);
const char *soak_hosts_service_name(uint32_t service, char *name);

#define SOAK_SERVICE_NAME_BYTES 16

#endif
