#ifndef PATH_TESTBED_H
#define PATH_TESTBED_H

#include <core/endpoint.h>

#define PATH_TESTBED_SERVICE "order-desk"
#define PATH_TESTBED_DOWNLOAD_BYTES 1073741824

/*
 * Runs a node and two fake targets as tasks of this process, on a loopback
 * address of its own: an echo target and one that sends a large response.
 */
struct path_testbed;

struct path_testbed *path_testbed_new(void);
void path_testbed_free(struct path_testbed *testbed);
struct endpoint path_testbed_target(const struct path_testbed *testbed);
struct endpoint path_testbed_node(const struct path_testbed *testbed);
uint64_t path_testbed_download(const struct path_testbed *testbed);
uint64_t path_testbed_peak_rss_bytes(void);

#endif
