package gossiper

import (
	"context"
	"encoding/binary"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"tarragonhead.example/tarragonhead/internal/messenger"
)

const (
	// maxMembers bounds what a digest may add, so that a damaged one can't
	// use up the daemon's memory.
	maxMembers = 1024
	// maxFieldBytes bounds the texts of a member's record.
	maxFieldBytes = 128
)

// Record returns the hash that names a member's record in digests. The
// heartbeat is no part of it.
func Record(m *messenger.Member) uint64 {
	h := xxhash.New()
	for _, s := range [...]string{m.Id, m.Domain, m.ControlAddr, m.TrafficAddr} {
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	var tail [9]byte
	binary.LittleEndian.PutUint64(tail[:], m.Incarnation)
	if m.Leaving {
		tail[8] = 1
	}
	_, _ = h.Write(tail[:])
	return h.Sum64()
}

// digest lists the members that are not dropped. The caller holds g.mu.
func (g *Gossiper) digest() *messenger.Digest {
	d := &messenger.Digest{From: g.selfRecord, Records: []uint64{g.selfRecord}, Heartbeats: []uint64{g.self.Heartbeat}}
	for record, e := range g.records {
		d.Records = append(d.Records, record)
		d.Heartbeats = append(d.Heartbeats, e.heartbeat)
	}
	return d
}

// Answer merges a peer's digest and returns the one to answer with.
func (g *Gossiper) Answer(d *messenger.Digest) *messenger.Digest {
	missing := g.receive(d)
	g.mu.Lock()
	answer := g.digest()
	answer.Missing = missing
	g.addRecords(answer, d, true)
	g.mu.Unlock()
	g.options.Complete(answer, d)
	return answer
}

// addRecords adds the records that the peer asked for, and in an answer also
// those that its list lacks. The caller holds g.mu.
func (g *Gossiper) addRecords(answer, d *messenger.Digest, lacking bool) {
	for _, record := range answer.Records {
		if slices.Contains(d.Missing, record) || (lacking && !slices.Contains(d.Records, record)) {
			if record == g.selfRecord {
				answer.Members = append(answer.Members, g.self)
			} else {
				answer.Members = append(answer.Members, g.records[record].member)
			}
		}
	}
}

// receive merges a peer's digest and returns the hashes of the records that it
// names and this daemon lacks.
func (g *Gossiper) receive(d *messenger.Digest) []uint64 {
	g.metrics.bytes.WithLabelValues("received").Add(float64(proto.Size(d)))
	g.mu.Lock()
	now := time.Now()
	for _, m := range d.Members[:min(len(d.Members), maxMembers)] {
		g.join(m, now)
	}
	var missing []uint64
	for i, record := range d.Records[:min(len(d.Records), len(d.Heartbeats), maxMembers)] {
		if !g.advance(record, d.Heartbeats[i], now) {
			missing = append(missing, record)
		}
	}
	addr := ""
	if e := g.records[d.From]; e != nil {
		addr = e.member.ControlAddr
	}
	g.mu.Unlock()
	g.options.Received(d, addr)
	return missing
}

// advance takes over a heartbeat, or reports false if the record is unknown.
// The caller holds g.mu.
func (g *Gossiper) advance(record, heartbeat uint64, now time.Time) bool {
	if record == g.selfRecord {
		return true
	}
	if e := g.records[record]; e != nil {
		if heartbeat > e.heartbeat {
			e.heartbeat, e.moved = heartbeat, now
		}
		return true
	}
	e := g.dropped[record]
	if e == nil {
		return false
	}
	if current := g.members[e.member.Id]; heartbeat > e.heartbeat && (current == nil || isNewer(e.member, current.member)) && e.member.Id != g.self.Id {
		delete(g.dropped, record)
		g.add(&entry{member: e.member, heartbeat: heartbeat}, now)
	}
	return true
}

// join takes over a member's record if it is the newest of its id. The caller
// holds g.mu.
func (g *Gossiper) join(m *messenger.Member, now time.Time) {
	record := Record(m)
	if !isValid(m) || g.records[record] != nil || g.dropped[record] != nil || record == g.selfRecord {
		return
	}
	if m.Id == g.self.Id {
		g.meetSelf(m, now)
		return
	}
	current := g.members[m.Id]
	if current != nil && !isNewer(m, current.member) {
		g.forget(m, now)
		return
	}
	if current == nil && len(g.members) >= maxMembers {
		return
	}
	// The heartbeat of the list that names the record counts, not that of the
	// record, which may have been copied at any time.
	g.add(&entry{member: m}, now)
}

// add makes e the entry of its member. The caller holds g.mu.
func (g *Gossiper) add(e *entry, now time.Time) {
	e.moved = now
	change := "joined"
	if current := g.members[e.member.Id]; current != nil {
		change = "replaced"
		g.drop(current, now)
	}
	g.members[e.member.Id] = e
	g.records[Record(e.member)] = e
	g.note(change, e)
}

// meetSelf handles a record with this daemon's id: an earlier run of it, or
// another daemon with the same id. If the record is newer, as after the clock
// was set back, this daemon takes a newer incarnation, since peers would ignore
// it otherwise. The caller holds g.mu.
func (g *Gossiper) meetSelf(m *messenger.Member, now time.Time) {
	if isNewer(m, g.self) {
		g.options.Log.Warn().Str("member", m.Id).Str("addr", m.ControlAddr).Msg("gossip: another run or another daemon has this id")
		g.metrics.changes.WithLabelValues("same_id").Inc()
		next := proto.CloneOf(g.self)
		next.Incarnation = m.Incarnation + 1
		g.replaceSelf(next)
	}
	g.forget(m, now)
}

// forget remembers a replaced record, so that it is not asked for again. The
// caller holds g.mu.
func (g *Gossiper) forget(m *messenger.Member, now time.Time) {
	if len(g.dropped) < maxMembers {
		g.dropped[Record(m)] = &entry{member: m, heartbeat: m.Heartbeat, moved: now}
	}
}

// isNewer orders the records of one id.
func isNewer(a, b *messenger.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Leaving && !b.Leaving
}

func isValid(m *messenger.Member) bool {
	for _, s := range [...]string{m.Id, m.Domain, m.ControlAddr, m.TrafficAddr} {
		if s == "" || len(s) > maxFieldBytes {
			return false
		}
	}
	_, err := netip.ParseAddrPort(m.ControlAddr)
	return err == nil
}

// pick returns the addresses to call: the next members in a random order,
// members that have been silent, the preferred one, and now and then an address
// that no member has.
func (g *Gossiper) pick() []string {
	preferred := g.options.Preferred()
	g.mu.Lock()
	defer g.mu.Unlock()
	known := map[string]bool{g.self.ControlAddr: true}
	for _, e := range g.members {
		known[e.member.ControlAddr] = true
	}
	// A random order without repetition reaches each member in time; random
	// draws leave some out for long, which makes others suspect them.
	g.order = slices.DeleteFunc(g.order, func(addr string) bool { return !known[addr] })
	if len(g.order) < fanOut {
		g.refillOrder()
	}
	n := min(fanOut, len(g.order))
	addrs := slices.Clone(g.order[:n])
	g.order = g.order[n:]
	for _, addr := range g.silent() {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	if preferred != "" && preferred != g.self.ControlAddr && !slices.Contains(addrs, preferred) {
		addrs = append(addrs, preferred)
	}
	if stranger := g.stranger(known); stranger != "" {
		addrs = append(addrs, stranger)
	}
	return addrs
}

// silent returns the members that are silent for the longest time and should
// be called directly. The caller holds g.mu.
func (g *Gossiper) silent() []string {
	now := time.Now()
	var silent []*entry
	for _, e := range g.members {
		if now.Sub(e.moved) >= probeAfter && !e.member.Leaving {
			silent = append(silent, e)
		}
	}
	slices.SortFunc(silent, func(a, b *entry) int { return a.moved.Compare(b.moved) })
	var addrs []string
	for _, e := range silent[:min(len(silent), maxProbes)] {
		addrs = append(addrs, e.member.ControlAddr)
	}
	return addrs
}

// refillOrder appends every member in a new random order, the ones that are
// still to be called left out. The caller holds g.mu.
func (g *Gossiper) refillOrder() {
	var addrs []string
	for _, e := range g.members {
		if !slices.Contains(g.order, e.member.ControlAddr) {
			addrs = append(addrs, e.member.ControlAddr)
		}
	}
	slices.Sort(addrs)
	g.options.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	g.order = append(g.order, addrs...)
}

// stranger returns an address of the settings or the platform's list that no
// member has: at each round while this daemon knows no member, and less often
// after that. The caller holds g.mu.
func (g *Gossiper) stranger(known map[string]bool) string {
	if len(g.members) > 0 && g.self.Heartbeat%uint64(strangerInterval/exchangeInterval) != 0 {
		return ""
	}
	var strangers []string
	for _, addr := range slices.Concat(g.options.Seeds, g.listed) {
		if s := addr.String(); !known[s] && !slices.Contains(strangers, s) {
			strangers = append(strangers, s)
		}
	}
	if len(strangers) == 0 {
		return ""
	}
	return strangers[g.options.Rand.IntN(len(strangers))]
}

// exchange swaps digests with a peer. A second swap follows when the answer
// shows that the peer lacks something.
func (g *Gossiper) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeInterval)
	defer cancel()
	peer := g.options.Dial(addr)
	g.mu.Lock()
	d := g.digest()
	g.mu.Unlock()
	g.options.Complete(d, nil)
	answer, err := g.swap(ctx, peer, d)
	if err != nil {
		g.metrics.exchanges.WithLabelValues("failed").Inc()
		g.options.Log.Debug().Str("peer", addr).Err(err).Msg("gossip: no answer")
		return
	}
	g.metrics.exchanges.WithLabelValues("answered").Inc()
	missing := g.receive(answer)
	g.mu.Lock()
	next := g.digest()
	next.Missing = missing
	g.addRecords(next, answer, false)
	g.mu.Unlock()
	g.options.Complete(next, answer)
	if len(missing) == 0 && len(next.Members) == 0 && len(next.Owners) == 0 {
		return
	}
	if answer, err = g.swap(ctx, peer, next); err == nil {
		g.receive(answer)
	}
}

func (g *Gossiper) swap(ctx context.Context, peer messenger.Peer, d *messenger.Digest) (*messenger.Digest, error) {
	g.metrics.bytes.WithLabelValues("sent").Add(float64(proto.Size(d)))
	return peer.Exchange(ctx, d)
}
