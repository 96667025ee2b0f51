#ifndef WIRE_RULES_DOCUMENT_CODEC_H
#define WIRE_RULES_DOCUMENT_CODEC_H

#include <core/rules_document.h>

/* The configuration document as JSON, the value of one store key. */
char *rules_document_encode(const struct rules_document *document);
struct rules_document *
rules_document_decode(const char *text, size_t length_bytes, GError **error);

#endif
