//go:build review

package main

import (
	"encoding/binary"
	"hash/crc32"
	"net/netip"
)

// Flag bits of a packet, as PROTOCOL.md gives them.
const (
	flagACK     = 1
	flagSYN     = 2
	flagBounced = 4
	flagRST     = 16
	flagFIN     = 64
)

const headSize = 32

// sumKey stands for the key of the ends, which the system doesn't know.
var sumKey = []byte("key of the two ends")

// packet is a decoded packet of a flow.
type packet struct {
	src, dst     netip.Addr
	sport, dport uint16
	flags        byte
	seq, ack     uint32
	data         []byte
}

func (p *packet) has(flag byte) bool { return p.flags&flag != 0 }

// encode returns the packet as its sender writes it.
func (p *packet) encode() []byte {
	b := make([]byte, headSize, headSize+len(p.data))
	binary.LittleEndian.PutUint32(b[4:], p.seq)
	binary.LittleEndian.PutUint32(b[8:], p.ack)
	binary.LittleEndian.PutUint16(b[12:], uint16(len(p.data)))
	binary.LittleEndian.PutUint16(b[14:], p.sport)
	binary.LittleEndian.PutUint32(b[16:], number(p.dst))
	binary.LittleEndian.PutUint32(b[20:], number(p.src))
	binary.LittleEndian.PutUint16(b[24:], p.dport)
	b[26] = p.flags
	b = append(b, p.data...)
	binary.LittleEndian.PutUint32(b[28:], sum(b))
	return b
}

// decode reads a packet. intact reports whether its sum is right.
func decode(b []byte) (p packet, intact, ok bool) {
	if len(b) < headSize || len(b) != headSize+int(binary.LittleEndian.Uint16(b[12:])) {
		return packet{}, false, false
	}
	p = packet{
		src: address(binary.LittleEndian.Uint32(b[20:])), dst: address(binary.LittleEndian.Uint32(b[16:])),
		sport: binary.LittleEndian.Uint16(b[14:]), dport: binary.LittleEndian.Uint16(b[24:]),
		flags: b[26], seq: binary.LittleEndian.Uint32(b[4:]), ack: binary.LittleEndian.Uint32(b[8:]),
		data: b[headSize:],
	}
	return p, binary.LittleEndian.Uint32(b[28:]) == sum(b), true
}

// sum covers all but echo, pad, the flag BOUNCED and itself.
func sum(b []byte) uint32 {
	h := crc32.NewIEEE()
	h.Write(sumKey)
	h.Write(b[4:26])
	h.Write([]byte{b[26] &^ flagBounced})
	h.Write(b[headSize:])
	return h.Sum32()
}

func number(a netip.Addr) uint32 {
	four := a.As4()
	return binary.BigEndian.Uint32(four[:])
}

func address(n uint32) netip.Addr {
	var four [4]byte
	binary.BigEndian.PutUint32(four[:], n)
	return netip.AddrFrom4(four)
}
