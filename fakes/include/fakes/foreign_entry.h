#ifndef FAKES_FOREIGN_ENTRY_H
#define FAKES_FOREIGN_ENTRY_H

#include <fakes/fake_host.h>

/*
 * Store entries of hosts as another writer puts them there: a field is missing,
 * has another type or an unknown value, or the bytes cannot be read.
 */
uint32_t foreign_entry_form_count(void);
char *foreign_entry_format(const struct fake_host_options *claimed,
			   uint32_t form);

#endif
