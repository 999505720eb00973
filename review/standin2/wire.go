//go:build review

package main

import (
	"encoding/binary"
	"hash/fnv"
	"net/netip"
)

// Packet flags and sizes, as the users' page on packets states them.
const (
	flagAck     = 1
	flagSyn     = 2
	flagBounced = 4
	flagRst     = 16
	flagFin     = 64
	headSize    = 32
	resetWindow = 76800
	retryFirst  = 200 // milliseconds
	retryMax    = 1600
	serverTries = 8
	openTimeout = 1400
)

// packet is one datagram of a flow.
type packet struct {
	src, dst     netip.AddrPort
	flags        byte
	echo         uint32
	seq, ack     uint32
	data         []byte
	pad          byte
	sum, correct uint32 // sum as received, and as it has to be
}

// has reports whether all the flags are set.
func (p *packet) has(flags byte) bool { return p.flags&flags == flags }

func putAddr(b []byte, a netip.Addr) {
	four := a.As4()
	b[0], b[1], b[2], b[3] = four[3], four[2], four[1], four[0]
}

func addrAt(b []byte) netip.Addr { return netip.AddrFrom4([4]byte{b[3], b[2], b[1], b[0]}) }

// encode returns the datagram, with the sum that the packet's sender computes.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.LittleEndian.PutUint32(b[0:], p.echo)
	binary.LittleEndian.PutUint32(b[4:], p.seq)
	binary.LittleEndian.PutUint32(b[8:], p.ack)
	binary.LittleEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.LittleEndian.PutUint16(b[14:], p.src.Port())
	putAddr(b[16:], p.dst.Addr())
	putAddr(b[20:], p.src.Addr())
	binary.LittleEndian.PutUint16(b[24:], p.dst.Port())
	b[26], b[27] = p.flags, p.pad
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[28:], sumOf(b))
	return b
}

// sumOf returns the keyed sum over all fields except echo, pad, the flag of returned packets and the sum itself.
func sumOf(b []byte) uint32 {
	h := fnv.New32a()
	h.Write([]byte("review key"))
	h.Write(b[4:26])
	h.Write([]byte{b[26] &^ flagBounced})
	h.Write(b[headSize:])
	if s := h.Sum32(); s != 0 {
		return s
	}
	return 1 // 0 is the sum of the system's own resets
}

// decode reads a datagram. ok is false if its length is wrong.
func decode(b []byte) (p packet, ok bool) {
	if len(b) < headSize || int(binary.LittleEndian.Uint16(b[12:])) != len(b)-headSize {
		return packet{}, false
	}
	return packet{
		src:     netip.AddrPortFrom(addrAt(b[20:]), binary.LittleEndian.Uint16(b[14:])),
		dst:     netip.AddrPortFrom(addrAt(b[16:]), binary.LittleEndian.Uint16(b[24:])),
		flags:   b[26],
		pad:     b[27],
		echo:    binary.LittleEndian.Uint32(b[0:]),
		seq:     binary.LittleEndian.Uint32(b[4:]),
		ack:     binary.LittleEndian.Uint32(b[8:]),
		data:    append([]byte(nil), b[headSize:]...),
		sum:     binary.LittleEndian.Uint32(b[28:]),
		correct: sumOf(b),
	}, true
}

func addrPort(text string) netip.AddrPort { return netip.MustParseAddrPort(text) }
