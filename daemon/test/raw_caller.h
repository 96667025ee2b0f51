#ifndef RAW_CALLER_H
#define RAW_CALLER_H

#include <check.h>
#include <errno.h>
#include <glib.h>
#include <stdbool.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>
#include <wire/sock_addr.h>

#define RAW_CALLER_TIMEOUT_S 20
#define RAW_CALLER_BLOCK_BYTES 65536

/* A caller that sends and receives raw bytes over TCP. */
struct raw_caller {
	int fd;
	GString *input;
	bool is_closed;
	bool is_reset;
};

/* A response; head is its status line and headers. */
struct raw_response {
	int status;
	char *head;
	uint64_t body_bytes;
	bool is_complete;
};

static inline void raw_caller_open(struct raw_caller *caller,
				   const struct endpoint *node)
{
	struct timeval timeout = {.tv_sec = RAW_CALLER_TIMEOUT_S};
	struct sockaddr_storage storage;
	socklen_t length = sock_addr_from_endpoint(&storage, node);

	memset(caller, 0, sizeof(*caller));
	caller->input = g_string_new(NULL);
	caller->fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(caller->fd, SOL_SOCKET, SO_RCVTIMEO, &timeout,
		   sizeof(timeout));
	ck_assert_int_eq(
		connect(caller->fd, (struct sockaddr *)&storage, length), 0);
}

static inline void raw_caller_close(struct raw_caller *caller)
{
	close(caller->fd);
	g_string_free(caller->input, TRUE);
}

/* Ignores send errors, as the node may have closed the connection. */
static inline void raw_caller_send(struct raw_caller *caller, const char *bytes,
				   size_t length)
{
	ssize_t sent = send(caller->fd, bytes, length, MSG_NOSIGNAL);

	(void)sent;
}

/* Receives once; returns false when the connection is closed or reset. */
static inline bool raw_caller_receive(struct raw_caller *caller)
{
	static __thread char block[RAW_CALLER_BLOCK_BYTES];
	ssize_t length;

	if (caller->is_closed)
		return false;
	length = recv(caller->fd, block, sizeof(block), 0);
	if (length > 0) {
		g_string_append_len(caller->input, block, length);
		return true;
	}
	ck_assert_msg(length == 0 || errno != EAGAIN,
		      "no response within the receive timeout");
	caller->is_closed = true;
	caller->is_reset = length < 0;
	return false;
}

/* Receives until the input contains text; returns its offset, or -1 at EOF. */
static inline gssize raw_caller_wait_for(struct raw_caller *caller,
					 const char *text)
{
	char *at;

	do {
		at = memmem(caller->input->str, caller->input->len, text,
			    strlen(text));
		if (at)
			return at - caller->input->str;
	} while (raw_caller_receive(caller));
	return -1;
}

static inline bool raw_caller_discard(struct raw_caller *caller,
				      uint64_t length)
{
	while (length > 0) {
		gsize part;

		if (caller->input->len == 0 && !raw_caller_receive(caller))
			return false;
		part = MIN(caller->input->len, length);
		g_string_erase(caller->input, 0, (gssize)part);
		length -= part;
	}
	return true;
}

static inline bool raw_caller_read_chunks(struct raw_caller *caller,
					  struct raw_response *response)
{
	for (;;) {
		gssize end = raw_caller_wait_for(caller, "\r\n");
		uint64_t length;

		if (end < 0)
			return false;
		length = g_ascii_strtoull(caller->input->str, NULL, 16);
		g_string_erase(caller->input, 0, end + 2);
		if (!raw_caller_discard(caller, length + 2))
			return false;
		response->body_bytes += length;
		if (length == 0)
			return true;
	}
}

static inline bool raw_caller_read_to_end(struct raw_caller *caller,
					  struct raw_response *response)
{
	while (raw_caller_receive(caller))
		;
	response->body_bytes = caller->input->len;
	g_string_set_size(caller->input, 0);
	return !caller->is_reset;
}

static inline bool raw_caller_read_body(struct raw_caller *caller,
					struct raw_response *response)
{
	const char *length = strstr(response->head, "\r\nContent-Length: ");

	if (strstr(response->head, "\r\nTransfer-Encoding: chunked"))
		return raw_caller_read_chunks(caller, response);
	if (!length)
		return raw_caller_read_to_end(caller, response);
	response->body_bytes = g_ascii_strtoull(
		length + strlen("\r\nContent-Length: "), NULL, 10);
	return raw_caller_discard(caller, response->body_bytes);
}

/* Reads one response; status 0 means none arrived. Free head with g_free. */
static inline void raw_caller_read(struct raw_caller *caller, bool has_body,
				   struct raw_response *response)
{
	gssize end = raw_caller_wait_for(caller, "\r\n\r\n");

	memset(response, 0, sizeof(*response));
	if (end < 0) {
		response->head = g_strdup("");
		return;
	}
	response->head = g_strndup(caller->input->str, (gsize)end + 4);
	g_string_erase(caller->input, 0, end + 4);
	ck_assert_msg(g_str_has_prefix(response->head, "HTTP/1."), "%s",
		      response->head);
	response->status = (int)g_ascii_strtoull(
		response->head + strlen("HTTP/1.1 "), NULL, 10);
	response->is_complete = !has_body || response->status == 204 ||
				response->status == 304 ||
				raw_caller_read_body(caller, response);
}

/*
 * Names the outcome that a caller can derive from a response. An incomplete
 * response is "broken", even if no byte of it arrived; "bad" means that
 * Shallot-Outcome contradicts the status or Retry-After is missing.
 */
static inline const char *
raw_response_outcome(const struct raw_response *response)
{
	if (!response->is_complete)
		return "broken";
	if (strstr(response->head, "\r\nShallot-Outcome: unknown"))
		return response->status == 504 ? "unknown" : "bad";
	if (strstr(response->head, "\r\nShallot-Outcome: not-run")) {
		if (response->status >= 400 && response->status < 500)
			return "rejected";
		return response->status == 503 && strstr(response->head,
							 "\r\nRetry-After: ")
			       ? "not-run"
			       : "bad";
	}
	return "whole";
}

#endif
