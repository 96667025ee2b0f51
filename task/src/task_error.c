#include <task/task_error.h>

/* Returns the GError domain of package task. */
GQuark task_error_quark(void)
{
	return g_quark_from_static_string("task-error");
}
