#include "config_roster_xdr.h"

#include <glib.h>
#include <stdbool.h>

static void epoch_to_xdr(struct xdr_config_epoch *xdr,
			 const struct roster_epoch *epoch)
{
	xdr->members.members_len = epoch->member_count;
	xdr->members.members_val =
		g_new0(struct xdr_config_member, epoch->member_count);
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		xdr->members.members_val[i].node_id = epoch->members[i].node_id;
		xdr->members.members_val[i].zone_id = epoch->members[i].zone_id;
	}
}

/* Allocates the arrays of xdr; free them with config_roster_free_xdr. */
void config_roster_to_xdr(struct xdr_config_roster *xdr,
			  const struct roster *roster)
{
	xdr->epochs.epochs_len = roster->epoch_count;
	xdr->epochs.epochs_val =
		g_new0(struct xdr_config_epoch, roster->epoch_count);
	for (uint32_t i = 0; i < roster->epoch_count; i++)
		epoch_to_xdr(&xdr->epochs.epochs_val[i], &roster->epochs[i]);
}

/* Frees the arrays that config_roster_to_xdr allocated. */
void config_roster_free_xdr(struct xdr_config_roster *xdr)
{
	for (u_int i = 0; i < xdr->epochs.epochs_len; i++)
		g_free(xdr->epochs.epochs_val[i].members.members_val);
	g_free(xdr->epochs.epochs_val);
}

static bool epoch_from_xdr(struct roster_epoch *epoch,
			   const struct xdr_config_epoch *xdr)
{
	if (xdr->members.members_len > ROSTER_MEMBERS_MAX)
		return false;
	epoch->member_count = xdr->members.members_len;
	for (uint32_t i = 0; i < epoch->member_count; i++) {
		epoch->members[i].node_id = xdr->members.members_val[i].node_id;
		epoch->members[i].zone_id = xdr->members.members_val[i].zone_id;
	}
	return true;
}

/* Returns a roster, or NULL if it is malformed. Free it with g_free. */
struct roster *config_roster_from_xdr(const struct xdr_config_roster *xdr)
{
	struct roster *roster = g_new0(struct roster, 1);
	bool is_valid = xdr->epochs.epochs_len > 0 &&
			xdr->epochs.epochs_len <= ROSTER_EPOCHS_MAX;

	roster->epoch = xdr->state.roster_epoch;
	roster->epoch_count = is_valid ? xdr->epochs.epochs_len : 0;
	for (uint32_t i = 0; is_valid && i < roster->epoch_count; i++)
		is_valid = epoch_from_xdr(&roster->epochs[i],
					  &xdr->epochs.epochs_val[i]);
	if (is_valid)
		return roster;
	g_free(roster);
	return NULL;
}
