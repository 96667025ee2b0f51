#ifndef HOST_ENTRY_H
#define HOST_ENTRY_H

#include <fakes/fake_host.h>

char *host_entry_format(const struct fake_host_options *options,
			bool is_draining);

#endif
