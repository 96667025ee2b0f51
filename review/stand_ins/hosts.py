"""Hosts of a service, as PROTOCOL.md describes them."""

import json
import random
import time

from stand_ins import packets

HEARTBEAT_S = 1.2
HALF_OPEN_S = 1.4
RETRANSMIT_S = 0.2
RETRANSMIT_MAX_S = 1.6
RETRANSMIT_COUNT = 8
QUEUE_LENGTH = 12
LINK_S = 0.0005
CLIENT_LINK_S = 0.003


class HostFlow:
    """What a host knows of one flow."""

    def __init__(self, key, client_seq, host_seq, echo):
        self.key = key
        self.next_in = client_seq + 1 & packets.SEQ_MASK
        self.next_out = host_seq + 1 & packets.SEQ_MASK
        self.host_seq = host_seq
        self.echo = echo
        self.is_open = False
        self.has_client_fin = False
        self.has_own_fin = False
        self.unacked = []
        self.data = b""


class Host:
    """A host with slots and a short queue. on_event reports what it sees."""

    def __init__(self, loop, name, service, zone, address, port, slots,
                 work_ms, answer_bytes, client_port, store, judge):
        self.loop = loop
        self.name = name
        self.service = service
        self.zone = zone
        self.address = address
        self.port = port
        self.slots = slots
        self.work_ms = work_ms
        self.answer_bytes = answer_bytes
        self.client_port = client_port
        self.store = store
        self.judge = judge
        self.host_id = int(name.rsplit("-", 1)[1], 16)
        self.born_ms = int(time.time() * 1000)
        self.state = "ready"
        self.sequence = 0
        self.has_exited = False
        self.written = None
        self.flows = {}
        self.ended = {}
        self.busy = 0
        self.waiting = []
        self.random = random.Random(name)
        self.socket = loop.udp(address, port, self._on_datagram)
        self._beat()

    def entry(self):
        """Returns the host's own entry, without its sequence."""
        return {"service": self.service,
                "address": f"{self.address}:{self.port}", "zone": self.zone,
                "version": "v1", "concurrency": self.slots,
                "state": self.state, "warmupRemainingMs": 0,
                "born": self.born_ms}

    def key(self):
        """Returns the key of the host's entry."""
        return "servers/" + self.name

    def _beat(self):
        """Writes the entry if more than its sequence differs."""
        if self.has_exited:
            return
        self.sequence += 1
        if self.store.items.get(self.key()) is not self.written or \
                self.written is None:
            self.write_entry()
        self.loop.after(HEARTBEAT_S, self._beat)

    def write_entry(self):
        """Writes the entry; returns the time of the acknowledgement."""
        text = json.dumps(dict(self.entry(), sequence=self.sequence))
        acknowledged_s = self.store.put(self.key(), text)
        self.written = self.store.items[self.key()]
        return acknowledged_s

    def drain(self):
        """Reports that the host leaves."""
        self.state = "draining"
        return self.write_entry()

    def exit(self):
        """Ends the host: its entry and its flows are gone."""
        self.has_exited = True
        self.store.remove(self.key())
        self.loop.close(self.socket)
        self.judge.host_exits(self, self.busy + len(self.waiting))
        self.flows = {}

    def _send(self, flow_key, raw):
        src = packets.address_of(flow_key[0])
        self.loop.after(CLIENT_LINK_S, self._send_now, raw,
                        (src, self.client_port))

    def _send_now(self, raw, to):
        if not self.has_exited:
            self.socket.sendto(raw, to)

    def _reply(self, flow, flags, data=b"", seq=None):
        src, sport, dst, dport = flow.key
        seq = flow.next_out if seq is None else seq
        self._send(flow.key, packets.encode(
            flags, dst, dport, src, sport, seq, flow.next_in, flow.echo, data))

    def _reset(self, packet, flow_key):
        src, sport, dst, dport = flow_key
        self._send(flow_key, packets.encode(
            packets.RST | packets.ACK, dst, dport, src, sport, packet.ack,
            packet.seq + len(packet.data), packet.echo))

    def _on_datagram(self, raw, sender):
        self.loop.after(LINK_S, self._handle, raw, sender)

    def _handle(self, raw, sender):
        if self.has_exited:
            return
        intended = int.from_bytes(raw[:8], "big")
        packet = packets.Packet(raw[8:])
        flow_key = (packet.src, packet.sport, packet.dst, packet.dport)
        self.judge.host_got(self, flow_key, packet, sender, intended)
        if intended not in (0, self.host_id):
            return
        if packet.flags & packets.SYN:
            self._on_syn(flow_key, packet)
            return
        flow = self.flows.get(flow_key)
        if flow and not flow.is_open and packet.ack != flow.next_out:
            flow = None
        if flow:
            self._on_flow_packet(flow, packet)
        elif packet.flags & packets.RST:
            return
        elif flow_key in self.ended and not packet.data:
            if packet.flags & packets.FIN:
                self._reply(self.ended[flow_key], packets.ACK)
        else:
            self._reset(packet, flow_key)

    def _on_syn(self, flow_key, packet):
        flow = self.flows.get(flow_key)
        if not flow or flow.next_in != packet.seq + 1 & packets.SEQ_MASK:
            flow = HostFlow(flow_key, packet.seq,
                            self.random.getrandbits(32), packet.echo)
            self.flows[flow_key] = flow
            self.loop.after(HALF_OPEN_S, self._forget_half_open, flow)
        if not flow.is_open:
            flow.echo = packet.echo
            self._reply(flow, packets.SYN | packets.ACK, seq=flow.host_seq)

    def _forget_half_open(self, flow):
        if not flow.is_open and self.flows.get(flow.key) is flow:
            del self.flows[flow.key]

    def _end(self, flow):
        if self.flows.get(flow.key) is flow:
            del self.flows[flow.key]
            self.ended[flow.key] = flow
            self.judge.flow_ended(self, flow.key)

    def _on_flow_packet(self, flow, packet):
        flow.echo = packet.echo
        if not flow.is_open:
            flow.is_open = True
            self.judge.flow_opened(self, flow.key)
        if packet.flags & packets.RST:
            self._end(flow)
            return
        flow.unacked = [sent for sent in flow.unacked
                        if (sent[0] + len(sent[2]) - packet.ack &
                            packets.SEQ_MASK) < 1 << 31
                        and sent[0] + len(sent[2]) != packet.ack]
        if packet.data:
            self._on_data(flow, packet)
        if packet.flags & packets.FIN and not flow.has_client_fin and \
                packet.seq == flow.next_in:
            flow.has_client_fin = True
            flow.next_in = flow.next_in + 1 & packets.SEQ_MASK
            self._reply(flow, packets.FIN | packets.ACK)
            self._end(flow)

    def _on_data(self, flow, packet):
        if packet.seq == flow.next_in:
            flow.next_in = packet.seq + len(packet.data) & packets.SEQ_MASK
            flow.data += packet.data
            self._reply(flow, packets.ACK)
            self._take_requests(flow)
        else:
            self._reply(flow, packets.ACK)

    def _take_requests(self, flow):
        while b"\r\n\r\n" in flow.data:
            head, _, rest = flow.data.partition(b"\r\n\r\n")
            headers = dict(line.split(b": ", 1)
                           for line in head.split(b"\r\n")[1:])
            length = int(headers.get(b"Content-Length", b"0"))
            if len(rest) < length:
                return
            flow.data = rest[length:]
            request_id = headers[b"Shallotstream-Request-Id"].decode()
            if self.busy < self.slots:
                self._run(flow, request_id)
            elif len(self.waiting) < QUEUE_LENGTH:
                self.waiting.append((flow, request_id))
            else:
                self._answer(flow, request_id, False)

    def _run(self, flow, request_id):
        self.busy += 1
        self.judge.host_ran(self, flow.key, request_id)
        work_ms = self.random.lognormvariate(0, 0.5) * self.work_ms * 0.88
        self.loop.after(work_ms / 1000, self._done, flow, request_id)

    def _done(self, flow, request_id):
        self.busy -= 1
        self._answer(flow, request_id, True)
        if self.waiting:
            self._run(*self.waiting.pop(0))

    def _answer(self, flow, request_id, has_run):
        body = b"x" * self.answer_bytes if has_run else b""
        head = [b"HTTP/1.1 200 OK" if has_run
                else b"HTTP/1.1 503 Service Unavailable",
                b"Shallotstream-Request-Id: " + request_id.encode(),
                b"Content-Length: %d" % len(body)]
        head.append(b"Shallotstream-Response-Signature: " +
                    self.name.encode() if has_run
                    else b"Shallotstream-Not-Executed: 1")
        if self.state == "draining":
            head.append(b"Connection: close")
        text = b"\r\n".join(head) + b"\r\n\r\n" + body
        if self.flows.get(flow.key) is not flow:
            return
        for begin in range(0, len(text), packets.DATA_BYTES_MAX):
            data = text[begin:begin + packets.DATA_BYTES_MAX]
            sent = (flow.next_out, packets.ACK, data)
            flow.unacked.append(sent)
            self._reply(flow, packets.ACK, data)
            flow.next_out = flow.next_out + len(data) & packets.SEQ_MASK
            self.loop.after(RETRANSMIT_S, self._retransmit, flow, sent,
                            RETRANSMIT_S, 1)

    def _retransmit(self, flow, sent, delay_s, count):
        if sent not in flow.unacked or self.flows.get(flow.key) is not flow \
                or count > RETRANSMIT_COUNT:
            return
        self._reply(flow, sent[1], sent[2], seq=sent[0])
        delay_s = min(2 * delay_s, RETRANSMIT_MAX_S)
        self.loop.after(delay_s, self._retransmit, flow, sent, delay_s,
                        count + 1)
