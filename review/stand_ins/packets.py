"""The packet header of PROTOCOL.md, and the keyed sum over it."""

import struct
import zlib

SYN, RST, ACK, FIN = 2, 16, 64, 128
BOUNCED = 8
HEADER = struct.Struct("<B3sIHIHHIIII")
HEADER_BYTES = HEADER.size
DATA_BYTES_MAX = 1200
SEQ_MASK = 0xFFFFFFFF

# Known to the two ends of a flow only.
SUM_KEY = b"review"


def number_of(address):
    """Returns an IPv4 address as a number."""
    number = 0
    for part in address.split("."):
        number = number * 256 + int(part)
    return number


def address_of(number):
    """Returns a number as an IPv4 address."""
    return ".".join(str(number >> shift & 255) for shift in (24, 16, 8, 0))


def sum_of(flags, length, src, sport, dst, dport, seq, ack, data):
    """Returns the sum over all fields except echo, pad and BOUNCED."""
    fields = (flags & ~BOUNCED, length, src, sport, dst, dport, seq, ack)
    return zlib.crc32(repr(fields).encode() + SUM_KEY + data)


def encode(flags, src, sport, dst, dport, seq, ack, echo=0, data=b""):
    """Returns a packet; addresses are numbers."""
    seq &= SEQ_MASK
    ack &= SEQ_MASK
    total = sum_of(flags, len(data), src, sport, dst, dport, seq, ack, data)
    return HEADER.pack(flags, b"\0\0\0", echo, len(data), dst, sport, dport,
                       src, total, seq, ack) + data


class Packet:
    """A decoded packet."""

    __slots__ = ("flags", "echo", "dst", "sport", "dport", "src", "sum", "seq",
                 "ack", "data")

    def __init__(self, raw):
        (self.flags, _, self.echo, length, self.dst, self.sport, self.dport,
         self.src, self.sum, self.seq, self.ack) = HEADER.unpack_from(raw)
        self.data = raw[HEADER_BYTES:]
        if len(self.data) != length:
            raise ValueError("length of the data")

    def is_intact(self):
        """Returns whether the packet is as its sender wrote it."""
        return self.sum == sum_of(self.flags, len(self.data), self.src,
                                  self.sport, self.dst, self.dport, self.seq,
                                  self.ack, self.data)
