#ifndef CONFIG_ROSTER_XDR_H
#define CONFIG_ROSTER_XDR_H

#include <config.h>
#include <core/roster.h>

void config_roster_to_xdr(struct xdr_config_roster *xdr,
			  const struct roster *roster);
void config_roster_free_xdr(struct xdr_config_roster *xdr);
struct roster *config_roster_from_xdr(const struct xdr_config_roster *xdr);

#endif
