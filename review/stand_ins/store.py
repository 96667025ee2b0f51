"""The platform's metadata store of PROTOCOL.md, over HTTP/1.1."""

import base64
import json
import socket
import struct
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

ANSWER_S = 0.004
PAGE_ITEM_COUNT = 500
WAIT_MAX_S = 30
TTL_MAX_MS = 600000
SILENCE_S = 20
REFUSALS = {"busy": 503, "many": 429}


class Store:
    """Items with revisions, history and leases. Nothing is forgotten."""

    def __init__(self):
        self.changed = threading.Condition()
        self.items = {}
        self.history = []
        self.revision = 1
        self.leases = {}
        self.next_lease = 77120

    def _write(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items \
            else self.revision
        self.items[key] = {"key": key, "value": value, "created": created,
                           "revision": self.revision, "lease": lease}
        self.history.append(self.items[key])

    def _remove(self, key):
        if self.items.pop(key, None):
            self.history.append({"key": key, "revision": self.revision,
                                 "deleted": True})

    def put(self, key, text):
        """Writes an item; returns the time of the acknowledgement."""
        with self.changed:
            self.revision += 1
            self._write(key, base64.b64encode(text.encode()).decode(), 0)
            self.changed.notify_all()
        return time.monotonic()

    def remove(self, key):
        """Removes an item; returns the time of the acknowledgement."""
        with self.changed:
            self.revision += 1
            self._remove(key)
            self.changed.notify_all()
        return time.monotonic()

    def transact(self, body):
        """Returns the status and the body of the answer to a transaction."""
        with self.changed:
            expected = body.get("expected", [])
            for row in expected:
                item = self.items.get(row["key"])
                if (item["revision"] if item else 0) != row["revision"]:
                    return 412, {"items": [
                        self.items.get(r["key"], {"key": r["key"],
                                                  "revision": 0})
                        for r in expected]}
            puts = body.get("puts", [])
            for put in puts:
                if put.get("lease", 0) and put["lease"] not in self.leases:
                    return 404, {}
            keys = [put["key"] for put in puts] + body.get("remove", [])
            if any(key.startswith(("op/", "servers/")) for key in keys):
                return 403, {}
            self.revision += 1
            for put in puts:
                self._write(put["key"], put["value"], put.get("lease", 0))
            for key in body.get("remove", []):
                self._remove(key)
            self.changed.notify_all()
            return 200, {"revision": self.revision}

    def grant(self, ttl_ms):
        """Returns a new lease."""
        with self.changed:
            self.next_lease += 1
            self.leases[self.next_lease] = min(ttl_ms, TTL_MAX_MS)
            return {"lease": self.next_lease,
                    "ttlMs": self.leases[self.next_lease]}

    def read_range(self, prefix, after):
        """Returns one page of items."""
        with self.changed:
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > after)
            return {"items": [self.items[key]
                              for key in keys[:PAGE_ITEM_COUNT]],
                    "hasMore": len(keys) > PAGE_ITEM_COUNT,
                    "currentRev": self.revision}

    def watch(self, prefix, after, wait_s):
        """Returns the changes after a revision, once there are any."""
        end = time.monotonic() + min(wait_s, WAIT_MAX_S)
        with self.changed:
            while True:
                events = [event for event in self.history
                          if event["revision"] > after
                          and event["key"].startswith(prefix)]
                left_s = end - time.monotonic()
                if events or left_s <= 0:
                    return {"events": events, "currentRev": self.revision}
                self.changed.wait(left_s)


class Handler(BaseHTTPRequestHandler):
    """Answers the calls of one node."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Keeps the calls out of standard error."""

    def _is_turned_away(self):
        """Carries out the server's trouble; returns whether it did."""
        trouble = self.server.trouble
        if trouble in REFUSALS:
            self._send(REFUSALS[trouble], {})
        elif trouble == "reset":
            self.connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                                       struct.pack("ii", 1, 0))
            self.connection.close()
            self.close_connection = True
        elif trouble == "silent":
            time.sleep(SILENCE_S)
            self.close_connection = True
        return trouble is not None

    def _answer(self, status, body):
        time.sleep(ANSWER_S)
        if not self._is_turned_away():
            self._send(status, body)

    def _send(self, status, body):
        text = json.dumps(body).encode()
        try:
            self.send_response(status)
            self.send_header("Content-Type", "application/json")
            self.send_header("Content-Length", str(len(text)))
            self.end_headers()
            self.wfile.write(text)
        except OSError:
            self.close_connection = True

    def do_GET(self):
        """Answers reads and watches."""
        if self._is_turned_away():
            return
        store = self.server.store
        url = urlsplit(self.path)
        query = {name: values[0] for name, values in
                 parse_qs(url.query, keep_blank_values=True).items()}
        if url.path == "/-/kv-key":
            item = store.items.get(query.get("key", ""))
            self._answer(200 if item else 404,
                         dict(item, currentRev=store.revision) if item else {})
        elif url.path == "/-/kv-range":
            self._answer(200, store.read_range(query.get("prefix", ""),
                                               query.get("after", "")))
        elif url.path == "/-/kv-watch":
            self._answer(200, store.watch(query.get("prefix", ""),
                                          int(query["after"]),
                                          int(query["waitMs"]) / 1000))
        else:
            self._answer(404, {})

    def do_POST(self):
        """Answers writes and renewals."""
        if self._is_turned_away():
            return
        store = self.server.store
        length = int(self.headers.get("Content-Length", 0))
        body = json.loads(self.rfile.read(length) or b"{}")
        if self.path == "/-/kv-txn":
            self._answer(*store.transact(body))
        elif self.path == "/-/kv-lease":
            self._answer(200, store.grant(body["ttlMs"]))
        elif self.path.startswith("/-/kv-keep/"):
            lease = int(self.path.rsplit("/", 1)[1])
            known = lease in store.leases
            self._answer(200 if known else 404,
                         {"ttlMs": store.leases[lease]} if known else {})
        else:
            self._answer(404, {})


def serve(store, address, port):
    """
    Serves the store at one node's own address in a thread. trouble of the
    server is how the store turns that node away, None while it serves it.
    """
    server = ThreadingHTTPServer((address, port), Handler)
    server.daemon_threads = True
    server.store = store
    server.trouble = None
    threading.Thread(target=server.serve_forever, daemon=True).start()
    return server
