#ifndef CHECKER_OPEN_FLOW_H
#define CHECKER_OPEN_FLOW_H

#include "checker_context.h"

/* Checks what hosts and callers observe of flows that have been opened. */
void checker_open_flow_record(struct soak_checker *checker,
			      const struct flow_event *event);
void checker_open_flow_supersede(struct soak_checker *checker,
				 const struct flow_event *event);
void checker_open_flow_check_unknown(struct soak_checker *checker,
				     const struct flow_event *event);
void checker_open_flow_check_execution(struct soak_checker *checker,
				       const struct flow_event *event);
void checker_open_flow_check_reset(struct soak_checker *checker,
				   const struct flow_event *event);
void checker_open_flow_check_host_reset(struct soak_checker *checker,
					const struct flow_event *event);
bool checker_open_flow_has_lost_host(const struct soak_checker *checker,
				     const struct flow_event *event);
void checker_open_flow_check_failure(struct soak_checker *checker,
				     const struct flow_event *event);

#endif
