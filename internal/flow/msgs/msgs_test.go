package msgs

import (
	"bytes"
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"mangowinch/internal/flow/segs"
)

var (
	head  = Header{Revision: 1 << 40, Service: 77}
	entry = netip.MustParseAddr("10.1.0.9")
	flow  = segs.Flow{Caller: [4]byte{100, 64, 0, 7}, CallerPort: 40001, Service: [4]byte{198, 18, 0, 1}, Port: 443}
)

// rest reads the head of an encoded message and checks it.
func rest(t *testing.T, b []byte, kind Kind) (Header, []byte) {
	t.Helper()
	h, r, err := ReadHeader(b)
	assert.NilError(t, err)
	assert.Equal(t, h, Header{Kind: kind, Revision: head.Revision, Service: head.Service})
	return h, r
}

func TestMessagesComeBackAsTheyWere(t *testing.T) {
	packet := []byte("a packet")

	h, r := rest(t, (&Forward{Header: head, Origin: entry, Domain: 9, Hops: 3, Probe: true, Packet: packet}).AppendTo(nil), KindForward)
	carry, err := ReadForward(h, r)
	assert.NilError(t, err)
	assert.Assert(t, carry.Origin == entry && carry.Domain == 9 && carry.Hops == 3 && carry.Probe && bytes.Equal(carry.Packet, packet))

	h, r = rest(t, (&Offer{Header: head, Origin: entry, Final: true, Visited: []Visit{{entry, 250}}, Packet: packet}).AppendTo(nil), KindOffer)
	offer, err := ReadOffer(h, r)
	assert.NilError(t, err)
	assert.Assert(t, offer.Final && len(offer.Visited) == 1 && offer.Visited[0] == Visit{entry, 250} && bytes.Equal(offer.Packet, packet))

	h, r = rest(t, (&Opened{Header: head, Flow: flow, Seq: 9, Load: Load{3, 20}}).AppendTo(nil), KindOpened)
	opened, err := ReadOpened(h, r)
	assert.NilError(t, err)
	assert.Assert(t, opened.Flow == flow && opened.Seq == 9 && opened.Load == Load{3, 20})

	h, r = rest(t, (&Refused{Header: head, Reason: ReasonBusy, Load: Load{1, 2}, Packet: packet}).AppendTo(nil), KindRefused)
	refused, err := ReadRefused(h, r)
	assert.NilError(t, err)
	assert.Assert(t, refused.Reason == ReasonBusy && refused.Load == Load{1, 2} && bytes.Equal(refused.Packet, packet))

	h, r = rest(t, (&Register{Header: head, Locations: []Location{{flow, 5}, {flow, 6}}}).AppendTo(nil), KindRegister)
	register, err := ReadRegister(h, r)
	assert.NilError(t, err)
	assert.DeepEqual(t, register.Locations, []Location{{flow, 5}, {flow, 6}})

	h, r = rest(t, (&Beacon{Header: head, Role: Entry, Domain: 9, Reader: true, WantReply: true, Age: 40, Readers: []Reader{{entry, 300}}, Peers: []netip.Addr{entry}}).AppendTo(nil), KindBeacon)
	beacon, err := ReadBeacon(h, r)
	assert.NilError(t, err)
	assert.Assert(t, len(beacon.Readers) == 1 && beacon.Readers[0] == Reader{entry, 300})
	assert.Assert(t, beacon.Domain == 9 && beacon.Reader && beacon.WantReply && !beacon.Leaving && beacon.Age == 40 && beacon.Peers[0] == entry)
}

func TestSearchMessagesComeBackAsTheyWere(t *testing.T) {
	questions := []Question{{flow, 5}, {flow, 6}}

	h, r := rest(t, (&Lookup{Header: head, Question: questions[0]}).AppendTo(nil), KindLookup)
	seek, err := ReadLookup(h, r)
	assert.NilError(t, err)
	assert.Equal(t, seek.Question, questions[0])

	h, r = rest(t, (&Query{Header: head, Round: 7, Questions: questions}).AppendTo(nil), KindQuery)
	find, err := ReadQuery(h, r)
	assert.NilError(t, err)
	assert.Equal(t, find.Round, uint32(7))
	assert.DeepEqual(t, find.Questions, questions)

	h, r = rest(t, (&QueryAnswer{Header: head, Round: 7, Verdicts: []Verdict{Held, Unsure}}).AppendTo(nil), KindQueryAnswer)
	found, err := ReadQueryAnswer(h, r)
	assert.NilError(t, err)
	assert.Equal(t, found.Round, uint32(7))
	assert.DeepEqual(t, found.Verdicts, []Verdict{Held, Unsure})

	for _, want := range []LookupResult{{Flow: flow, Owner: entry}, {Flow: flow, Unsure: []netip.Addr{entry, entry}}, {Flow: flow, AllUnsure: true}, {Flow: flow, Partial: true}} {
		want.Header = head
		h, r = rest(t, want.AppendTo(nil), KindLookupResult)
		sought, err := ReadLookupResult(h, r)
		assert.NilError(t, err)
		assert.Assert(t, sought.Flow == flow && sought.Owner == want.Owner && sought.AllUnsure == want.AllUnsure && sought.Partial == want.Partial && slices.Equal(sought.Unsure, want.Unsure))
	}

	h, r = rest(t, (&ProbeResult{Header: head, Flow: flow, Held: true}).AppendTo(nil), KindProbeResult)
	tried, err := ReadProbeResult(h, r)
	assert.NilError(t, err)
	assert.Assert(t, tried.Flow == flow && tried.Held)

	h, r = rest(t, (&Failed{Header: head, Agents: []FailedAgent{{Agent: entry, Age: 700}, {Agent: entry}}}).AppendTo(nil), KindFailed)
	lost, err := ReadFailed(h, r)
	assert.NilError(t, err)
	assert.Assert(t, slices.Equal(lost.Agents, []FailedAgent{{Agent: entry, Age: 700}, {Agent: entry}}))
	_, err = ReadFailed(h, r[:len(r)-1])
	assert.ErrorIs(t, err, ErrShort)
}

func TestForeignDatagramsAreRefused(t *testing.T) {
	_, _, err := ReadHeader([]byte("HELLO, THIS IS NOT OURS"))
	assert.ErrorIs(t, err, ErrForeign)
	_, _, err = ReadHeader(nil)
	assert.ErrorIs(t, err, ErrForeign)
}

// Whatever is cut short is refused and never read past its end.
func TestCutMessagesAreRefused(t *testing.T) {
	whole := (&Opened{Header: head, Flow: flow}).AppendTo(nil)
	rapid.Check(t, func(r *rapid.T) {
		n := rapid.IntRange(headSize, len(whole)-1).Draw(r, "length")
		h, rest, err := ReadHeader(whole[:n])
		assert.NilError(r, err)
		_, err = ReadOpened(h, rest)
		assert.ErrorIs(r, err, ErrShort)
	})
}

// FuzzMessages reads anything as every kind.
func FuzzMessages(f *testing.F) {
	f.Add((&Offer{Header: head, Origin: entry, Visited: []Visit{{entry, 1}}, Packet: []byte("x")}).AppendTo(nil))
	f.Add((&Beacon{Header: head, Peers: []netip.Addr{entry}}).AppendTo(nil))
	questions := []Question{{flow, 5}, {flow, 6}}
	f.Add((&Lookup{Header: head, Question: questions[0]}).AppendTo(nil))
	f.Add((&LookupResult{Header: head, Flow: flow, Unsure: []netip.Addr{entry}, Partial: true}).AppendTo(nil))
	f.Add((&Query{Header: head, Round: 7, Questions: questions}).AppendTo(nil))
	f.Add((&QueryAnswer{Header: head, Round: 7, Verdicts: []Verdict{Held, Unsure}}).AppendTo(nil))
	f.Add((&Beacon{Header: head, Readers: []Reader{{entry, 300}}, Peers: []netip.Addr{entry}}).AppendTo(nil))
	f.Fuzz(func(t *testing.T, b []byte) {
		h, rest, err := ReadHeader(b)
		if err != nil {
			return
		}
		_, _ = ReadForward(h, rest)
		_, _ = ReadOpened(h, rest)
		_, _ = ReadRefused(h, rest)
		_, _ = ReadOwner(h, rest)
		_, _ = ReadRegister(h, rest)
		_, _ = ReadQuery(h, rest)
		_, _ = ReadQueryAnswer(h, rest)
		_, _ = ReadLookup(h, rest)
		_, _ = ReadLookupResult(h, rest)
		_, _ = ReadProbeResult(h, rest)
		_, _ = ReadFailed(h, rest)
		_, _ = ReadBeacon(h, rest)
		if m, err := ReadOffer(h, rest); err == nil {
			assert.DeepEqual(t, m.AppendTo(nil)[headSize:headSize+4], rest[:4])
		}
	})
}
