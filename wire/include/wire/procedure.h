#ifndef WIRE_PROCEDURE_H
#define WIRE_PROCEDURE_H

/* The ONC RPC program of shallotd, from the range left to users. */
#define SHALLOT_PROGRAM 0x20005a17
#define SHALLOT_VERSION_NUMBER 1

/*
 * Procedure numbers. Each family has its own .x file and its own range; a
 * number is never used anew for another message.
 */
enum procedure_range {
	PROCEDURE_MEMBERS_FIRST = 1,
	PROCEDURE_FLOWS_FIRST = 16,
	PROCEDURE_CLAIMS_FIRST = 32,
	PROCEDURE_CONFIG_FIRST = 48,
	PROCEDURE_RELAY_FIRST = 64,
	PROCEDURE_COUNT = 80,
};

#endif
