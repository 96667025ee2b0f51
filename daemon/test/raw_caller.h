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

#define RAW_TIMEOUT_S 20
#define RAW_BLOCK_BYTES 65536

/* A caller that writes and reads bytes as they are. */
struct raw_caller {
	int fd;
	GString *input;
	bool is_closed;
	bool is_reset;
};

/* One answer as it came in. */
struct raw_answer {
	int status;
	char *head;
	uint64_t body_bytes;
	bool is_whole;
};

static inline void raw_caller_open(struct raw_caller *caller,
				   const struct endpoint *node)
{
	struct timeval timeout = {.tv_sec = RAW_TIMEOUT_S};
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

/* Bytes that the node no longer wants are not the caller's concern. */
static inline void raw_caller_send(struct raw_caller *caller, const char *bytes,
				   size_t length)
{
	ssize_t sent = send(caller->fd, bytes, length, MSG_NOSIGNAL);

	(void)sent;
}

static inline bool raw_caller_fill(struct raw_caller *caller)
{
	static __thread char block[RAW_BLOCK_BYTES];
	ssize_t length;

	if (caller->is_closed)
		return false;
	length = recv(caller->fd, block, sizeof(block), 0);
	if (length > 0) {
		g_string_append_len(caller->input, block, length);
		return true;
	}
	ck_assert_msg(length == 0 || errno != EAGAIN, "no answer in time");
	caller->is_closed = true;
	caller->is_reset = length < 0;
	return false;
}

/* Waits until the input holds the text; returns its place or -1. */
static inline gssize raw_caller_find(struct raw_caller *caller,
				     const char *text)
{
	char *at;

	do {
		at = memmem(caller->input->str, caller->input->len, text,
			    strlen(text));
		if (at)
			return at - caller->input->str;
	} while (raw_caller_fill(caller));
	return -1;
}

static inline bool raw_caller_skip(struct raw_caller *caller, uint64_t length)
{
	while (length > 0) {
		gsize part;

		if (caller->input->len == 0 && !raw_caller_fill(caller))
			return false;
		part = MIN(caller->input->len, length);
		g_string_erase(caller->input, 0, (gssize)part);
		length -= part;
	}
	return true;
}

static inline bool raw_caller_chunks(struct raw_caller *caller,
				     struct raw_answer *answer)
{
	for (;;) {
		gssize end = raw_caller_find(caller, "\r\n");
		uint64_t length;

		if (end < 0)
			return false;
		length = g_ascii_strtoull(caller->input->str, NULL, 16);
		g_string_erase(caller->input, 0, end + 2);
		if (!raw_caller_skip(caller, length + 2))
			return false;
		answer->body_bytes += length;
		if (length == 0)
			return true;
	}
}

static inline bool raw_caller_until_end(struct raw_caller *caller,
					struct raw_answer *answer)
{
	while (raw_caller_fill(caller))
		;
	answer->body_bytes = caller->input->len;
	g_string_set_size(caller->input, 0);
	return !caller->is_reset;
}

static inline bool raw_caller_body(struct raw_caller *caller,
				   struct raw_answer *answer)
{
	const char *length = strstr(answer->head, "\r\nContent-Length: ");

	if (strstr(answer->head, "\r\nTransfer-Encoding: chunked"))
		return raw_caller_chunks(caller, answer);
	if (!length)
		return raw_caller_until_end(caller, answer);
	answer->body_bytes = g_ascii_strtoull(
		length + strlen("\r\nContent-Length: "), NULL, 10);
	return raw_caller_skip(caller, answer->body_bytes);
}

/* Reads one answer; status 0 means that none came. The caller frees head. */
static inline void raw_caller_read(struct raw_caller *caller, bool has_body,
				   struct raw_answer *answer)
{
	gssize end = raw_caller_find(caller, "\r\n\r\n");

	memset(answer, 0, sizeof(*answer));
	if (end < 0) {
		answer->head = g_strdup("");
		return;
	}
	answer->head = g_strndup(caller->input->str, (gsize)end + 4);
	g_string_erase(caller->input, 0, end + 4);
	ck_assert_msg(g_str_has_prefix(answer->head, "HTTP/1."), "%s",
		      answer->head);
	answer->status = (int)g_ascii_strtoull(
		answer->head + strlen("HTTP/1.1 "), NULL, 10);
	answer->is_whole = !has_body || answer->status == 204 ||
			   answer->status == 304 ||
			   raw_caller_body(caller, answer);
}

/*
 * Names what a caller may believe of an answer. A connection that breaks off is
 * "broken" whether any of the answer came or not.
 */
static inline const char *raw_answer_outcome(const struct raw_answer *answer)
{
	if (!answer->is_whole)
		return "broken";
	if (strstr(answer->head, "\r\nShallot-Outcome: unknown"))
		return answer->status == 504 ? "unknown" : "bad";
	if (strstr(answer->head, "\r\nShallot-Outcome: not-run")) {
		if (answer->status >= 400 && answer->status < 500)
			return "rejected";
		return answer->status == 503 &&
				       strstr(answer->head, "\r\nRetry-After: ")
			       ? "not-run"
			       : "bad";
	}
	return "whole";
}

#endif
