#ifndef CAPACITY_MEASURES_H
#define CAPACITY_MEASURES_H

#include <stdint.h>

double capacity_flow_state_bytes(uint32_t flow_count);
double capacity_member_bytes_per_s(uint32_t node_count);
double capacity_flow_bytes_per_s(uint32_t node_count);
double capacity_store_reads_per_s(uint32_t node_count);
double capacity_store_writes_per_s(uint32_t node_count);
double capacity_config_messages_per_s(uint32_t node_count);
double capacity_rules_bytes(uint32_t rule_count);
double capacity_rules_parse_ns(uint32_t rule_count);
double capacity_claims_bytes(uint32_t claim_count);
double capacity_view_bytes(uint32_t node_count);

#endif
