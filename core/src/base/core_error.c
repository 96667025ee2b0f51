#include <core/core_error.h>

/* Returns the GError domain of the core library. */
GQuark core_error_quark(void)
{
	return g_quark_from_static_string("core-error");
}
