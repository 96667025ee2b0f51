#include <core/core_error.h>

/* The GError domain of package core. */
GQuark core_error_quark(void)
{
	return g_quark_from_static_string("core-error");
}
