"""Clients of a zone, as PROTOCOL.md describes them."""

import random
import zlib

from stand_ins import packets

LINK_S = 0.003
SYN_COPIES_S = (0.2, 0.6)
OPEN_LIMIT_S = 1.4
RETRANSMIT_S = 0.2
RETRANSMIT_MAX_S = 1.6
FIRST_PORT = 1024
PORT_COUNT = 60000


class Request:
    """One client attempt with an id of its own."""

    def __init__(self, request_id, route, body_bytes):
        self.request_id = request_id
        self.route = route
        method = b"POST" if body_bytes else b"GET"
        self.text = (method + b" / HTTP/1.1\r\nShallotstream-Request-Id: " +
                     request_id.encode() +
                     b"\r\nContent-Length: %d\r\n\r\n" % body_bytes +
                     b"b" * body_bytes)


class ClientFlow:
    """A client's end of a flow."""

    def __init__(self, key, seq, requests):
        self.key = key
        self.seq = seq
        self.next_out = seq + 1 & packets.SEQ_MASK
        self.next_in = 0
        self.echo = 0
        self.is_open = False
        self.is_over = False
        self.requests = requests
        self.pending = None
        self.unacked = None
        self.answer = b""
        self.out_of_order = {}
        self.since_ack = 0


class Client:
    """A client at one address; all its flows share the address's socket."""

    def __init__(self, loop, address, port, zone, fleet, judge, deadline_s):
        self.loop = loop
        self.address = address
        self.number = packets.number_of(address)
        self.port = port
        self.zone = zone
        self.fleet = fleet
        self.judge = judge
        self.deadline_s = deadline_s
        self.flows = {}
        self.next_port = 0
        self.port_count = PORT_COUNT
        self.random = random.Random(address)
        self.socket = loop.udp(address, port, self._on_datagram)
        self.router = loop.udp(address, 0, lambda raw, sender: None)

    def open(self, route, requests, pauses_s=(0, 0)):
        """Opens a flow that carries requests with pauses between them."""
        port = self._take_port()
        key = (self.number, port, packets.number_of(route[0]), route[1])
        flow = ClientFlow(key, self.random.getrandbits(32), requests)
        flow.pauses_s = pauses_s
        self.flows[port] = flow
        self._send_syn(flow, 0)
        for count, delay_s in enumerate(SYN_COPIES_S, 1):
            self.loop.after(delay_s, self._send_syn, flow, count)
        self.loop.after(OPEN_LIMIT_S, self._give_up_opening, flow)
        self.judge.client_opened(self, key)
        return flow

    def _take_port(self):
        """Returns the next port that has no flow."""
        while True:
            self.next_port += 1
            port = FIRST_PORT + self.next_port % self.port_count
            if port not in self.flows:
                return port

    def _send_syn(self, flow, count):
        if not flow.is_open and not flow.is_over:
            self._send(flow, packets.SYN, seq=flow.seq, ack=count, echo=0)

    def _give_up_opening(self, flow):
        if not flow.is_open and not flow.is_over:
            self._finish(flow, "not opened")

    def _send(self, flow, flags, data=b"", seq=None, ack=None, echo=None):
        src, sport, dst, dport = flow.key
        raw = packets.encode(
            flags, src, sport, dst, dport,
            flow.next_out if seq is None else seq,
            flow.next_in if ack is None else ack,
            flow.echo if echo is None else echo, data)
        self.loop.after(LINK_S, self._route, flow.key, raw)

    def _route(self, key, raw):
        node = self.fleet.choose(self.zone, zlib.crc32(repr(key).encode()))
        if node:
            self.judge.routed(key, node)
            try:
                self.router.sendto(raw, (node.address, node.ports["datagram"]))
            except OSError:
                pass

    def _on_datagram(self, raw, sender):
        packet = packets.Packet(raw)
        flow = self.flows.get(packet.dport)
        if not flow or (packet.src, packet.sport) != flow.key[2:]:
            self.judge.client_got_stray(self, packet, sender)
            return
        if packet.flags & packets.RST:
            self._on_reset(flow, packet, sender)
            return
        self.judge.client_got(self, flow.key, packet, sender)
        flow.echo = packet.echo
        if packet.flags & packets.SYN:
            self._on_syn_ack(flow, packet)
        elif flow.is_open and not flow.is_over:
            self._on_packet(flow, packet)

    def _on_reset(self, flow, packet, sender):
        is_in_window = not flow.is_open or \
            (packet.seq - flow.next_in + 76800 & packets.SEQ_MASK) <= 153600
        self.judge.client_got_reset(self, flow, packet, sender, is_in_window)
        if is_in_window and not flow.is_over:
            self._finish(flow, "reset")

    def _on_syn_ack(self, flow, packet):
        if flow.is_open or flow.is_over or packet.ack != flow.next_out:
            return
        flow.is_open = True
        flow.next_in = packet.seq + 1 & packets.SEQ_MASK
        self._next_request(flow)

    def _next_request(self, flow):
        if flow.is_over:
            return
        if not flow.requests:
            self._send(flow, packets.FIN | packets.ACK)
            flow.next_out = flow.next_out + 1 & packets.SEQ_MASK
            self._finish(flow, "closed")
            return
        flow.pending = flow.requests.pop(0)
        flow.answer = b""
        self.judge.client_sent(self, flow.key, flow.pending)
        sent = (flow.next_out, flow.pending.text)
        flow.next_out = flow.next_out + len(sent[1]) & packets.SEQ_MASK
        flow.unacked = sent
        self._send(flow, packets.ACK, sent[1], seq=sent[0])
        self.loop.after(RETRANSMIT_S, self._retransmit, flow, sent,
                        RETRANSMIT_S)
        self.loop.after(self.deadline_s, self._on_deadline, flow, flow.pending)

    def _retransmit(self, flow, sent, delay_s):
        if flow.unacked is not sent or flow.is_over:
            return
        self._send(flow, packets.ACK, sent[1], seq=sent[0])
        delay_s = min(2 * delay_s, RETRANSMIT_MAX_S)
        self.loop.after(delay_s, self._retransmit, flow, sent, delay_s)

    def _on_deadline(self, flow, request):
        if flow.pending is request and not flow.is_over:
            self._finish(flow, "deadline")

    def _on_packet(self, flow, packet):
        if flow.unacked and packet.ack == flow.next_out:
            flow.unacked = None
        if not packet.data:
            return
        flow.out_of_order[packet.seq] = packet.data
        while flow.next_in in flow.out_of_order:
            data = flow.out_of_order.pop(flow.next_in)
            flow.next_in = flow.next_in + len(data) & packets.SEQ_MASK
            flow.answer += data
            flow.since_ack += 1
        is_whole = self._is_whole(flow)
        if flow.since_ack >= 2 or is_whole or \
                packet.seq + len(packet.data) & packets.SEQ_MASK \
                != flow.next_in:
            flow.since_ack = 0
            self._send(flow, packets.ACK)
        if is_whole and flow.pending:
            self._on_answer(flow)

    @staticmethod
    def _is_whole(flow):
        head, end, body = flow.answer.partition(b"\r\n\r\n")
        if not end:
            return False
        at = head.index(b"Content-Length: ") + 16
        return len(body) >= int(head[at:].split(b"\r\n")[0])

    def _on_answer(self, flow):
        self.judge.client_answered(self, flow.key, flow.pending, flow.answer)
        flow.pending = None
        if b"Connection: close" in flow.answer.partition(b"\r\n\r\n")[0]:
            flow.requests = []
        pause_s = self.random.uniform(*flow.pauses_s) if flow.requests else 0
        self.loop.after(pause_s, self._next_request, flow)

    def _finish(self, flow, how):
        flow.is_over = True
        self.judge.client_finished(self, flow, how)
        self.loop.after(2, self.flows.pop, flow.key[1], None)
