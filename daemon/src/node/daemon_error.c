#include <daemon/daemon_error.h>

/* The GError domain of the daemon library. */
GQuark daemon_error_quark(void)
{
	return g_quark_from_static_string("daemon-error");
}
