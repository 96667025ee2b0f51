#include "control_family.h"

#include <wire/procedure.h>

const struct control_family_row control_families[CONTROL_FAMILY_COUNT] = {
	[CONTROL_FAMILY_MEMBERS] = {PROCEDURE_MEMBERS_FIRST,
				    PROCEDURE_FLOWS_FIRST, 1024, true, false},
	[CONTROL_FAMILY_CLAIMS] = {PROCEDURE_CLAIMS_FIRST,
				   PROCEDURE_CONFIG_FIRST, 1024, false, false},
	[CONTROL_FAMILY_CONFIG] = {PROCEDURE_CONFIG_FIRST,
				   PROCEDURE_RELAY_FIRST, 512, true, true},
	[CONTROL_FAMILY_FLOWS] = {PROCEDURE_FLOWS_FIRST, PROCEDURE_CLAIMS_FIRST,
				  4096, true, true},
};

/* Finds the family of a procedure; returns false if none includes it. */
bool control_family_of(uint32_t procedure, enum control_family *family)
{
	for (uint32_t i = 0; i < CONTROL_FAMILY_COUNT; i++) {
		if (procedure >= control_families[i].procedure_first &&
		    procedure < control_families[i].procedure_end) {
			*family = (enum control_family)i;
			return true;
		}
	}
	return false;
}
