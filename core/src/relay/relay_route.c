#include <core/relay_route.h>

/* Returns whether new flows of a route may go to a service. */
bool relay_route_leads_to(const struct relay_route *route, uint32_t service_id)
{
	for (uint32_t i = 0; i < route->share_count; i++) {
		if (route->shares[i].service_id == service_id &&
		    route->shares[i].weight > 0)
			return true;
	}
	return false;
}
