#include <core/work_class.h>

#include <string.h>

static const char *const class_names[CLASS_COUNT] = {
	[CLASS_URGENT] = "urgent",
	[CLASS_NORMAL] = "normal",
	[CLASS_BULK] = "bulk",
};

/* Returns the name of a class as it appears in rules, logs and metrics. */
const char *work_class_name(enum work_class work_class)
{
	return work_class < CLASS_COUNT ? class_names[work_class] : "invalid";
}

/* Parses a class name; returns false when the text is not one. */
bool work_class_parse(enum work_class *work_class, const char *text)
{
	for (int i = 0; i < CLASS_COUNT; i++) {
		if (strcmp(text, class_names[i]) == 0) {
			*work_class = (enum work_class)i;
			return true;
		}
	}
	return false;
}
