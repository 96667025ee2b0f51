#ifndef CHECKER_NEW_FLOW_H
#define CHECKER_NEW_FLOW_H

#include "checker_context.h"

/* Checks the opening packets that hosts accept, and the service of others. */
void checker_new_flow_check(struct soak_checker *checker,
			    const struct flow_event *event);
void checker_new_flow_check_service(struct soak_checker *checker,
				    const struct flow_event *event,
				    const struct checker_route *route,
				    const struct checker_host *host);

#endif
