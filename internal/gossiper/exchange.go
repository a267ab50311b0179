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
	// maxMembers limits the members that are kept and the records that are read
	// from a digest, so that a corrupt digest can't use up the daemon's memory.
	maxMembers = 1024
	// maxFieldBytes limits the length of each text field of a member's record.
	maxFieldBytes = 128
)

// RecordHash returns the hash that identifies a member's record in digests. The
// heartbeat is not part of the hash.
func RecordHash(m *messenger.Member) uint64 {
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

// digest returns a digest with the members that are not dropped. The caller
// holds g.mu.
func (g *Gossiper) digest() *messenger.Digest {
	d := &messenger.Digest{From: g.selfHash, Records: []uint64{g.selfHash}, Heartbeats: []uint64{g.self.Heartbeat}}
	for hash, e := range g.byHash {
		d.Records = append(d.Records, hash)
		d.Heartbeats = append(d.Heartbeats, e.heartbeat)
	}
	return d
}

// Answer merges a peer's digest and returns the digest to respond with.
func (g *Gossiper) Answer(d *messenger.Digest) *messenger.Digest {
	missing := g.receive(d)
	g.mu.Lock()
	answer := g.digest()
	answer.Missing = missing
	g.addRecords(answer, d, true)
	g.mu.Unlock()
	g.options.AddVersions(answer, d)
	return answer
}

// addRecords adds to answer the records that the peer asked for in d and, if
// withUnlisted is set, also the records that d does not list. The caller holds
// g.mu.
func (g *Gossiper) addRecords(answer, d *messenger.Digest, withUnlisted bool) {
	for _, hash := range answer.Records {
		if slices.Contains(d.Missing, hash) || (withUnlisted && !slices.Contains(d.Records, hash)) {
			if hash == g.selfHash {
				answer.Members = append(answer.Members, g.self)
			} else {
				answer.Members = append(answer.Members, g.byHash[hash].member)
			}
		}
	}
}

// receive merges a peer's digest and returns the hashes of the listed records
// that this daemon lacks.
func (g *Gossiper) receive(d *messenger.Digest) []uint64 {
	g.metrics.bytes.WithLabelValues("received").Add(float64(proto.Size(d)))
	g.mu.Lock()
	now := time.Now()
	for _, m := range d.Members[:min(len(d.Members), maxMembers)] {
		g.mergeMember(m, now)
	}
	var missing []uint64
	for i, hash := range d.Records[:min(len(d.Records), len(d.Heartbeats), maxMembers)] {
		if !g.updateHeartbeat(hash, d.Heartbeats[i], now) {
			missing = append(missing, hash)
		}
	}
	addr := ""
	if e := g.byHash[d.From]; e != nil {
		addr = e.member.ControlAddr
	}
	g.mu.Unlock()
	g.options.Received(d, addr)
	return missing
}

// updateHeartbeat takes over a newer heartbeat. It reports false if the record
// is unknown. A dropped member rejoins when its heartbeat advances. The caller
// holds g.mu.
func (g *Gossiper) updateHeartbeat(hash, heartbeat uint64, now time.Time) bool {
	if hash == g.selfHash {
		return true
	}
	if e := g.byHash[hash]; e != nil {
		if heartbeat > e.heartbeat {
			e.heartbeat, e.changedAt = heartbeat, now
		}
		return true
	}
	e := g.dropped[hash]
	if e == nil {
		return false
	}
	if current := g.members[e.member.Id]; heartbeat > e.heartbeat && (current == nil || isNewer(e.member, current.member)) && e.member.Id != g.self.Id {
		delete(g.dropped, hash)
		g.addEntry(&entry{member: e.member, heartbeat: heartbeat}, now)
	}
	return true
}

// mergeMember takes over a member's record if it is the newest with its id. The
// caller holds g.mu.
func (g *Gossiper) mergeMember(m *messenger.Member, now time.Time) {
	hash := RecordHash(m)
	if !isValid(m) || g.byHash[hash] != nil || g.dropped[hash] != nil || hash == g.selfHash {
		return
	}
	if m.Id == g.self.Id {
		g.handleOwnID(m, now)
		return
	}
	current := g.members[m.Id]
	if current != nil && !isNewer(m, current.member) {
		g.rememberReplaced(m, now)
		return
	}
	if current == nil && len(g.members) >= maxMembers {
		return
	}
	// The heartbeat is taken from the digest's list. The heartbeat in the
	// record may be of any age.
	g.addEntry(&entry{member: m}, now)
}

// addEntry makes e the entry of its member and drops the previous entry. The
// caller holds g.mu.
func (g *Gossiper) addEntry(e *entry, now time.Time) {
	e.changedAt = now
	change := "joined"
	if current := g.members[e.member.Id]; current != nil {
		change = "replaced"
		g.drop(current, now)
	}
	g.members[e.member.Id] = e
	g.byHash[RecordHash(e.member)] = e
	g.reportChange(change, e)
}

// handleOwnID handles a record with this daemon's id, which is from an earlier
// run or from another daemon with the same id. If the record is newer, for
// example after the clock was set back, this daemon takes a newer incarnation,
// since peers would otherwise ignore its record. The caller holds g.mu.
func (g *Gossiper) handleOwnID(m *messenger.Member, now time.Time) {
	if isNewer(m, g.self) {
		g.options.Log.Warn().Str("member", m.Id).Str("addr", m.ControlAddr).Msg("gossip: another run or another daemon has this id")
		g.metrics.changes.WithLabelValues("same_id").Inc()
		next := proto.CloneOf(g.self)
		next.Incarnation = m.Incarnation + 1
		g.replaceSelf(next)
	}
	g.rememberReplaced(m, now)
}

// rememberReplaced keeps the hash of a replaced record, so that the record is
// not requested again. The caller holds g.mu.
func (g *Gossiper) rememberReplaced(m *messenger.Member, now time.Time) {
	if len(g.dropped) < maxMembers {
		g.dropped[RecordHash(m)] = &entry{member: m, heartbeat: m.Heartbeat, changedAt: now}
	}
}

// isNewer reports whether a is a newer record than b of the same id: by
// incarnation, and within an incarnation by leaving.
func isNewer(a, b *messenger.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Leaving && !b.Leaving
}

// isValid reports whether a record has every field, none too long, and a
// numeric control address.
func isValid(m *messenger.Member) bool {
	for _, s := range [...]string{m.Id, m.Domain, m.ControlAddr, m.TrafficAddr} {
		if s == "" || len(s) > maxFieldBytes {
			return false
		}
	}
	_, err := netip.ParseAddrPort(m.ControlAddr)
	return err == nil
}

// selectPeers returns the addresses to call in this interval: the next members
// in a random order, members whose heartbeat has not advanced, the preferred
// address, and sometimes an address that no member has.
func (g *Gossiper) selectPeers() []string {
	preferred := g.options.Preferred()
	g.mu.Lock()
	defer g.mu.Unlock()
	known := map[string]bool{g.self.ControlAddr: true}
	for _, e := range g.members {
		known[e.member.ControlAddr] = true
	}
	// A random order without repetition reaches every member in bounded time.
	// Independent random draws can miss a member for long enough that others
	// suspect it.
	g.callOrder = slices.DeleteFunc(g.callOrder, func(addr string) bool { return !known[addr] })
	if len(g.callOrder) < fanOut {
		g.refillCallOrder()
	}
	n := min(fanOut, len(g.callOrder))
	addrs := slices.Clone(g.callOrder[:n])
	g.callOrder = g.callOrder[n:]
	for _, addr := range g.probeAddresses() {
		if !slices.Contains(addrs, addr) {
			addrs = append(addrs, addr)
		}
	}
	if preferred != "" && preferred != g.self.ControlAddr && !slices.Contains(addrs, preferred) {
		addrs = append(addrs, preferred)
	}
	if unknown := g.pickUnknownAddress(known); unknown != "" {
		addrs = append(addrs, unknown)
	}
	return addrs
}

// probeAddresses returns the addresses of the members to call directly: those
// whose heartbeats have not advanced for the longest times, at least
// probeAfter. The caller holds g.mu.
func (g *Gossiper) probeAddresses() []string {
	now := time.Now()
	var overdue []*entry
	for _, e := range g.members {
		if now.Sub(e.changedAt) >= probeAfter && !e.member.Leaving {
			overdue = append(overdue, e)
		}
	}
	slices.SortFunc(overdue, func(a, b *entry) int { return a.changedAt.Compare(b.changedAt) })
	var addrs []string
	for _, e := range overdue[:min(len(overdue), maxProbes)] {
		addrs = append(addrs, e.member.ControlAddr)
	}
	return addrs
}

// refillCallOrder appends the members that are not in the call order, in random
// order. The caller holds g.mu.
func (g *Gossiper) refillCallOrder() {
	var addrs []string
	for _, e := range g.members {
		if !slices.Contains(g.callOrder, e.member.ControlAddr) {
			addrs = append(addrs, e.member.ControlAddr)
		}
	}
	slices.Sort(addrs)
	g.options.Rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	g.callOrder = append(g.callOrder, addrs...)
}

// pickUnknownAddress returns a random address of the settings or the platform's
// list that no member has, "" for none. While this daemon knows no other member
// it returns an address in every interval, afterwards once per
// unknownAddressInterval. The caller holds g.mu.
func (g *Gossiper) pickUnknownAddress(known map[string]bool) string {
	if len(g.members) > 0 && g.self.Heartbeat%uint64(unknownAddressInterval/exchangeInterval) != 0 {
		return ""
	}
	var unknown []string
	for _, addr := range slices.Concat(g.options.Seeds, g.instanceAddrs) {
		if s := addr.String(); !known[s] && !slices.Contains(unknown, s) {
			unknown = append(unknown, s)
		}
	}
	if len(unknown) == 0 {
		return ""
	}
	return unknown[g.options.Rand.IntN(len(unknown))]
}

// exchange sends a digest to a peer and merges the response. It sends a second
// digest if the response shows that either side lacks records or owners.
func (g *Gossiper) exchange(ctx context.Context, addr string) {
	ctx, cancel := context.WithTimeout(ctx, exchangeInterval)
	defer cancel()
	peer := g.options.Dial(addr)
	g.mu.Lock()
	d := g.digest()
	g.mu.Unlock()
	g.options.AddVersions(d, nil)
	answer, err := g.send(ctx, peer, d)
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
	g.options.AddVersions(next, answer)
	if len(missing) == 0 && len(next.Members) == 0 && len(next.Owners) == 0 {
		return
	}
	if answer, err = g.send(ctx, peer, next); err == nil {
		g.receive(answer)
	}
}

// send sends a digest to a peer and returns the peer's digest.
func (g *Gossiper) send(ctx context.Context, peer messenger.Peer, d *messenger.Digest) (*messenger.Digest, error) {
	g.metrics.bytes.WithLabelValues("sent").Add(float64(proto.Size(d)))
	return peer.Exchange(ctx, d)
}
