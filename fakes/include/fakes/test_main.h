#ifndef FAKES_TEST_MAIN_H
#define FAKES_TEST_MAIN_H

#include <check.h>
#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>

/*
 * Prints that a row of a fault table ran, as suite/name with every character of
 * name other than a letter or digit replaced by a dash. scripts/check-faults
 * compares these lines with the rows named in docs/FAULTS.md.
 */
static inline void test_row(const char *suite, const char *name)
{
	printf("row: %s/", suite);
	for (const char *c = name; *c; c++)
		putchar(isalnum((unsigned char)*c) ? tolower(*c) : '-');
	putchar('\n');
	fflush(stdout);
}

/* Runs a suite and returns the exit status of the test program. */
static inline int test_main(Suite *suite)
{
	SRunner *runner = srunner_create(suite);
	int failed_count;

	srunner_run_all(runner, CK_VERBOSE);
	failed_count = srunner_ntests_failed(runner);
	srunner_free(runner);
	return failed_count == 0 ? EXIT_SUCCESS : EXIT_FAILURE;
}

#endif
