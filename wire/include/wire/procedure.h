#ifndef WIRE_PROCEDURE_H
#define WIRE_PROCEDURE_H

/* The ONC RPC program number of shallotd, from the user-defined range. */
#define SHALLOT_PROGRAM 0x20005a17
#define SHALLOT_PROGRAM_VERSION 1

/*
 * The first procedure number of each family of messages. Each family has its
 * own .x file and its own range; numbers are never reused.
 */
enum procedure_range {
	PROCEDURE_MEMBERS_FIRST = 1,
	PROCEDURE_FLOWS_FIRST = 16,
	PROCEDURE_CLAIMS_FIRST = 32,
	PROCEDURE_CONFIG_FIRST = 48,
	PROCEDURE_RELAY_FIRST = 64,
	PROCEDURE_END = 80,
};

#endif
