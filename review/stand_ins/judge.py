"""Keeps the record of a run and checks the rules on what was seen."""

import collections
import time

from stand_ins import packets

REORDER_S = 2.0
OTHER_HOST_PACKETS = 3
STABLE_S = 4.0


class Judge:
    """Sees what clients, hosts and the operator see on their sockets."""

    def __init__(self, routes):
        self.begin_s = time.monotonic()
        self.routes = routes
        self.lines = []
        self.counts = collections.Counter()
        self.host_of = {}
        self.opened_s = {}
        self.ended = set()
        self.arrivals = collections.defaultdict(list)
        self.nodes_of = collections.defaultdict(list)
        self.sent = {}
        self.ran = collections.defaultdict(list)
        self.breaks = []
        self.names = {}
        self.disrupted_until_s = {}
        self.drain_s = None
        self.left_s = {}

    def now_s(self):
        """Returns the time since the begin."""
        return time.monotonic() - self.begin_s

    def note(self, text):
        """Writes a line of the record."""
        self.lines.append(f"{self.now_s():8.3f} {text}")

    @staticmethod
    def flow_name(key):
        """Returns a flow as text."""
        return (f"{packets.address_of(key[0])}:{key[1]} to "
                f"{packets.address_of(key[2])}:{key[3]}")

    def break_rule(self, rule, text):
        """Records that a rule was broken."""
        self.breaks.append((rule, text))
        self.note(f"{rule} broken: {text}")

    def is_in_touch(self, node_name):
        """Returns whether a machine was undisturbed for stableMs."""
        until_s = self.disrupted_until_s.get(node_name)
        return until_s is None or self.now_s() - until_s >= STABLE_S

    def routed(self, key, node):
        """A router has forwarded a packet of a flow to a node."""
        nodes = self.nodes_of[key]
        if not nodes or nodes[-1][1] != node.name:
            nodes.append((self.now_s(), node.name))

    def client_opened(self, client, key):
        """A client opens a flow."""
        self.counts["flows opened by clients"] += 1
        if key in self.nodes_of:
            self.counts["of these from a port used before"] += 1
        if key in self.arrivals:
            self.check_arrivals([key])
            del self.arrivals[key]
        for known in (self.host_of, self.opened_s, self.nodes_of):
            known.pop(key, None)
        self.ended.discard(key)

    def client_sent(self, client, key, request):
        """A client sends a request."""
        self.counts["requests sent"] += 1
        self.sent[request.request_id] = (self.now_s(), key, request)

    def client_answered(self, client, key, request, answer):
        """A client has a whole answer."""
        status = answer.split(b" ", 2)[1].decode()
        self.counts["requests answered with " + status] += 1
        head = answer.partition(b"\r\n\r\n")[0]
        if request.request_id.encode() not in head:
            self.break_rule("MIXED", f"{request.request_id} has another "
                            "request's answer")

    def client_got(self, client, key, packet, sender):
        """A client gets a packet other than a reset."""
        if not packet.is_intact():
            self.break_rule("MIXED", f"changed packet on {self.flow_name(key)}")

    def client_got_stray(self, client, packet, sender):
        """A client gets a packet of a flow that it has ended."""
        self.counts["packets for ended flows"] += 1

    def client_got_reset(self, client, flow, packet, sender, is_in_window):
        """A client gets a reset; FLOW (a)."""
        key = flow.key
        host = self.host_of.get(key)
        self.counts["resets got by clients"] += 1
        if not host or key in self.ended or flow.is_over or \
                sender == (host.address, host.port):
            return
        if not self.is_in_touch(self.nodes_of[key][-1][1]):
            self.counts["resets through machines out of touch, excused"] += 1
            return
        name = self.names.get(sender, f"{sender[0]}:{sender[1]}")
        waiting = flow.pending.request_id if flow.pending else "none"
        self.break_rule("FLOW", (
            f"(a) {self.flow_name(key)} is open at {host.name} since "
            f"{self.opened_s[key]:.3f} s; a reset comes from {name}"
            f"{'' if is_in_window else ', out of the window'}; request "
            f"waiting: {waiting}, run by "
            f"{self.ran.get(waiting, 'no host')}; nodes: " + ", ".join(
                f"{node} from {at_s:.3f} s"
                for at_s, node in self.nodes_of[key])))

    def client_finished(self, client, flow, how):
        """A client has ended a flow."""
        self.counts["flows ended by clients: " + how] += 1
        self.ended.add(flow.key)

    def host_got(self, host, key, packet, sender, intended):
        """A host gets a packet."""
        if not packet.is_intact():
            self.break_rule("UNASKED",
                            f"changed packet on {self.flow_name(key)}")
        if packet.flags & packets.SYN and intended in (0, host.host_id):
            self._check_drain(host, key)
        if key in self.host_of and key not in self.ended and \
                not packet.flags & packets.SYN:
            self.arrivals[key].append((
                self.now_s(), host.name,
                self.is_in_touch(self.nodes_of[key][-1][1])))

    def host_leaves(self, host, acknowledged_s):
        """The store has acknowledged that a host is draining."""
        self.left_s[host.name] = acknowledged_s - self.begin_s
        self.note(f"{host.name} is draining")

    def host_exits(self, host, waiting_count):
        """A host has exited."""
        self.counts["requests lost with their host"] += waiting_count
        self.note(f"{host.name} exits with {waiting_count} requests")

    def _check_drain(self, host, key):
        """DRAIN is judged by the opening packet that a host takes."""
        left_s = self.left_s.get(host.name)
        node_name = self.nodes_of[key][-1][1]
        if left_s is None or self.drain_s is None or \
                self.now_s() - left_s <= self.drain_s or \
                not self.is_in_touch(node_name):
            return
        self.break_rule("DRAIN", (
            f"{self.flow_name(key)} reaches {host.name} through {node_name} "
            f"{self.now_s() - left_s:.3f} s after the host left"))

    def flow_opened(self, host, key):
        """A host has the end of a handshake."""
        self.host_of[key] = host
        self.opened_s[key] = self.now_s()
        self.counts["flows opened at hosts"] += 1

    def flow_ended(self, host, key):
        """A host has ended a flow."""
        self.ended.add(key)

    def host_ran(self, host, key, request_id):
        """A host begins to work on a request."""
        self.counts["requests run"] += 1
        self.ran[request_id].append(host.name)
        if request_id not in self.sent:
            self.break_rule("UNASKED", f"{host.name} runs {request_id}")
            return
        request = self.sent[request_id][2]
        if len(self.ran[request_id]) > 1:
            self.break_rule("run once at most", f"{request_id} was run "
                            f"by {self.ran[request_id]}")
        if host.service not in self.routes[request.route]:
            self.break_rule("ROUTE", (
                f"{request_id}, sent to {request.route[0]} port "
                f"{request.route[1]}, allowed for "
                f"{sorted(self.routes[request.route])}, was run by "
                f"{host.name} of {host.service}"))

    def has_traffic(self):
        """Returns whether any request was answered."""
        return self.counts["requests answered with 200"] > 0

    def check_arrivals(self, keys=None):
        """FLOW (b): packets reach other hosts and none the flow's own."""
        for key in list(self.arrivals) if keys is None else keys:
            arrivals = self.arrivals[key]
            own = self.host_of[key].name
            others = []
            for at_s, name, is_in_touch in arrivals:
                if name == own or not is_in_touch:
                    others = []
                    continue
                others.append(at_s)
                if len(others) >= OTHER_HOST_PACKETS and \
                        at_s - others[0] >= REORDER_S:
                    self.break_rule("FLOW", (
                        f"(b) {self.flow_name(key)} is open at {own}; "
                        f"{len(others)} packets reached other hosts"))
                    break

    def write(self, path, title):
        """Writes the record."""
        with open(path, "w", encoding="utf-8") as file:
            file.write(title + "\n\n")
            for name, count in sorted(self.counts.items()):
                file.write(f"{count:8d} {name}\n")
            broken = collections.Counter(rule for rule, _ in self.breaks)
            for rule, count in broken.items():
                file.write(f"{count:8d} times {rule} broken\n")
            file.write("\n")
            file.writelines(line + "\n" for line in self.lines)
