#ifndef PATH_BED_H
#define PATH_BED_H

#include <core/endpoint.h>

#define PATH_BED_SERVICE "order-desk"
#define PATH_BED_DOWNLOAD_BYTES 1073741824

/*
 * Runs a node and two fake targets as tasks of this process, on a loopback
 * address of its own: an echo target and one that sends a large response.
 */
struct path_bed;

struct path_bed *path_bed_new(void);
void path_bed_free(struct path_bed *bed);
struct endpoint path_bed_target(const struct path_bed *bed);
struct endpoint path_bed_node(const struct path_bed *bed);
uint64_t path_bed_download(const struct path_bed *bed);
uint64_t path_bed_peak_bytes(void);

#endif
