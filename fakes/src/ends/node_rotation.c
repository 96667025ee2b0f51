#include "node_rotation.h"

#include <event2/http.h>
#include <string.h>
#include <task/timer.h>

/* The platform asks each node twice a second; two misses put it out. */
#define POLL_INTERVAL_MS 500
#define POLL_TIMEOUT_MS 450
#define MISS_COUNT_MAX 2
#define STATUS_OK 200
#define US_PER_MS 1000

/* One node as the router sees it, with the question under way. */
struct rotation_seat {
	struct node_rotation *rotation;
	struct caller_node node;
	struct evhttp_connection *connection;
	uint32_t miss_count;
	bool is_in;
	bool is_near;
};

struct node_rotation {
	struct task *task;
	struct timer *timer;
	bool is_steady;
	uint32_t seat_count;
	struct rotation_seat *seats;
};

static void note_answer(struct rotation_seat *seat, bool is_ready)
{
	if (is_ready) {
		seat->miss_count = 0;
		seat->is_in = true;
		return;
	}
	seat->miss_count++;
	if (seat->miss_count >= MISS_COUNT_MAX)
		seat->is_in = false;
}

static void on_answer(struct evhttp_request *request, void *context)
{
	note_answer(context, request && evhttp_request_get_response_code(
						request) == STATUS_OK);
}

static void hang_up(struct rotation_seat *seat)
{
	if (seat->connection)
		evhttp_connection_free(seat->connection);
	seat->connection = NULL;
}

/* A new connection each time: one that hangs would hide a node that is back. */
static void ask(struct rotation_seat *seat)
{
	struct timeval timeout = {.tv_usec = POLL_TIMEOUT_MS * US_PER_MS};
	struct evhttp_request *request;
	char address[IP_ADDR_TEXT_BYTES];

	hang_up(seat);
	ip_addr_format(&seat->node.admin.addr, address);
	seat->connection = evhttp_connection_base_new(
		task_base(seat->rotation->task), NULL, address,
		seat->node.admin.port);
	evhttp_connection_set_timeout_tv(seat->connection, &timeout);
	request = evhttp_request_new(on_answer, seat);
	evhttp_add_header(evhttp_request_get_output_headers(request), "Host",
			  address);
	if (evhttp_make_request(seat->connection, request, EVHTTP_REQ_GET,
				"/readyz") != 0)
		note_answer(seat, false);
}

static void on_timer(void *context)
{
	struct node_rotation *rotation = context;

	for (uint32_t i = 0; i < rotation->seat_count; i++) {
		if (rotation->seats[i].node.admin.port != 0)
			ask(&rotation->seats[i]);
	}
}

/* Makes the rotation and asks all nodes at once; the same task frees it. */
struct node_rotation *
node_rotation_new(const struct fake_caller_options *options, struct task *task)
{
	struct node_rotation *rotation = g_new0(struct node_rotation, 1);

	rotation->task = task;
	rotation->is_steady = options->is_steady;
	rotation->seat_count = options->node_count;
	rotation->seats = g_new0(struct rotation_seat, options->node_count);
	for (uint32_t i = 0; i < options->node_count; i++) {
		struct rotation_seat *seat = &rotation->seats[i];

		seat->rotation = rotation;
		seat->node = options->nodes[i];
		seat->is_in = seat->node.admin.port == 0;
		seat->is_near = strcmp(seat->node.zone, options->zone) == 0;
	}
	rotation->timer = timer_new(task, rotation, on_timer);
	timer_every(rotation->timer, POLL_INTERVAL_MS);
	on_timer(rotation);
	return rotation;
}

/* Frees a rotation; NULL is allowed. */
void node_rotation_free(struct node_rotation *rotation)
{
	if (!rotation)
		return;
	timer_free(rotation->timer);
	for (uint32_t i = 0; i < rotation->seat_count; i++)
		hang_up(&rotation->seats[i]);
	g_free(rotation->seats);
	g_free(rotation);
}

/* Which nodes the router chooses from: is_any takes those not in rotation. */
struct seat_choice {
	bool is_near;
	bool is_any;
};

static bool is_chosen(const struct rotation_seat *seat,
		      const struct seat_choice *choice)
{
	return seat->is_near == choice->is_near &&
	       (seat->is_in || choice->is_any);
}

static uint32_t count_of(const struct node_rotation *rotation,
			 const struct seat_choice *choice)
{
	uint32_t count = 0;

	for (uint32_t i = 0; i < rotation->seat_count; i++)
		count += is_chosen(&rotation->seats[i], choice);
	return count;
}

/* Fewer than half in rotation: all of the zone; none: the other zones'. */
static struct seat_choice choose(const struct node_rotation *rotation)
{
	struct seat_choice near_ready = {true, false};
	struct seat_choice near_any = {true, true};
	struct seat_choice far_ready = {false, false};
	uint32_t ready_count = count_of(rotation, &near_ready);
	uint32_t all_count = count_of(rotation, &near_any);

	if (ready_count == 0)
		return count_of(rotation, &far_ready) > 0 ? far_ready
							  : near_any;
	return ready_count * 2 < all_count ? near_any : near_ready;
}

static uint64_t mix(uint64_t value)
{
	value = (value ^ (value >> 31)) * 0x9e3779b97f4a7c15u;
	return value ^ (value >> 29);
}

static uint32_t pick_steady(const struct node_rotation *rotation,
			    const struct seat_choice *choice,
			    uint64_t flow_hash)
{
	uint64_t best = 0;
	uint32_t picked = 0;

	for (uint32_t i = 0; i < rotation->seat_count; i++) {
		uint64_t score = mix(flow_hash + i * 0x10001u) | 1;

		if (is_chosen(&rotation->seats[i], choice) && score > best) {
			best = score;
			picked = i;
		}
	}
	return picked;
}

static uint32_t pick_nth(const struct node_rotation *rotation,
			 const struct seat_choice *choice, uint32_t place)
{
	for (uint32_t i = 0; i < rotation->seat_count; i++) {
		if (is_chosen(&rotation->seats[i], choice) && place-- == 0)
			return i;
	}
	return 0;
}

/* Returns the node that gets the packets of a flow just now. */
uint32_t node_rotation_pick(const struct node_rotation *rotation,
			    uint64_t flow_hash)
{
	struct seat_choice choice = choose(rotation);
	uint32_t count = count_of(rotation, &choice);

	if (rotation->is_steady)
		return pick_steady(rotation, &choice, flow_hash);
	return pick_nth(rotation, &choice,
			count > 0 ? (uint32_t)(mix(flow_hash) % count) : 0);
}
