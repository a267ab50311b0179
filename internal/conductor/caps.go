package conductor

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"tarragonhead.example/tarragonhead/internal/allotter"
	"tarragonhead.example/tarragonhead/internal/planner"
	"tarragonhead.example/tarragonhead/internal/storeclient"
	"tarragonhead.example/tarragonhead/internal/waiter"
)

const (
	// capsPrefix begins the keys of the divisions of caps, and capsOperation names
	// their transactions in the log.
	capsPrefix    = "th/cap/"
	capsOperation = "caps"
	// maxCapNameBytes is the longest name of an organisation that is part of a key as it
	// is. The store accepts keys of 200 bytes.
	maxCapNameBytes = 160
	// capsReadInterval is how often an owner reads what the other shards hold and want,
	// so that an unused part is given back and taken within 2 s.
	capsReadInterval = 700 * time.Millisecond
	// capsInterval is the minimum time between two decisions on the parts.
	capsInterval = 50 * time.Millisecond
	// capsRetryDelay is the delay of a record after a write that met one of another owner.
	capsRetryDelay = 20 * time.Millisecond
	// capsPerTransaction is how many records fit into one transaction: each takes an
	// expectation and a write, and the head takes an expectation.
	capsPerTransaction = (storeclient.MaxTransactionEntries - 1) / 2
	// capMetricsInterval is how often the metrics of organisations are set.
	capMetricsInterval = time.Second
)

// capState is what an owner knows of the caps of organisations.
type capState struct {
	// divisions has the divisions of caps, by organisation.
	divisions map[string]*capDivision
	// readAt is when the last complete read of the divisions began.
	readAt time.Time
	// loweredAt is when the cap of an organisation was lowered. Nothing of it starts until
	// a read that began later shows what the shards hold.
	loweredAt                               map[string]time.Time
	isReading, isWriting                    bool
	lastReadAt, nextDecisionAt, lastMetrics time.Time
	// hasNews is set while a read, a write or a configuration has not been considered for
	// the organisations without demand.
	hasNews bool
	// isInherited has the organisations whose part at the load is known to the planner.
	isInherited map[string]bool
	// next is the organisation whose change is the first to be stored, since those before
	// it in the order of names have had their turn.
	next string
}

// capDivision is the division of the cap of one organisation.
type capDivision struct {
	record   allotter.Record
	revision uint64
	// isUnusable is set if the stored record can't be decoded. The shard then holds no
	// part.
	isUnusable bool
	// unanswered is the least that an unanswered write may have left this shard. It is
	// meaningful while isUncertain is set, until another revision is known.
	unanswered  planner.Resources
	isUncertain bool
}

// capKey returns the key of the division of an organisation's cap.
func capKey(organisation string) string {
	if len(organisation) > maxCapNameBytes {
		start := strings.ToValidUTF8(organisation[:maxCapNameBytes], "")
		return capsPrefix + start + "-" + strconv.FormatUint(xxhash.Sum64String(organisation), 16)
	}
	return capsPrefix + organisation
}

// noteLoweredCaps records which caps a new configuration has lowered or introduced.
func (c *Conductor) noteLoweredCaps(before, after map[string]planner.Organisation) {
	now := c.options.Now()
	hasCaps := false
	isLower := func(b, a int64) bool { return a > 0 && (b == 0 || a < b) }
	for name, o := range after {
		hasCaps = hasCaps || o.Cap != (planner.Resources{})
		b := before[name].Cap
		if isLower(b.CPU, o.Cap.CPU) || isLower(b.Memory, o.Cap.Memory) || isLower(b.GPU, o.Cap.GPU) {
			if c.caps.loweredAt == nil {
				c.caps.loweredAt = map[string]time.Time{}
			}
			c.caps.loweredAt[name] = now
		}
	}
	c.hasCaps.Store(hasCaps)
	c.caps.hasNews = true
}

// loadCaps applies the divisions that a new owner has read.
func (c *Conductor) loadCaps(records shardRecords) {
	c.caps = capState{divisions: map[string]*capDivision{}, loweredAt: c.caps.loweredAt, lastReadAt: records.capsReadAt, isInherited: map[string]bool{}}
	c.applyCaps(records.caps, records.capsReadAt)
}

// inheritParts tells the planner which parts the shard held at the load. A cap may be
// introduced later, and the divisions are not read at the load if there was none.
func (c *Conductor) inheritParts(organisations []string) {
	for _, name := range organisations {
		if c.caps.isInherited[name] {
			continue
		}
		c.caps.isInherited[name] = true
		if d := c.caps.divisions[capKey(name)]; d != nil {
			c.planner.InheritPart(name, d.record.Parts[c.options.Shard])
		}
	}
}

// applyCaps applies a read of the divisions.
func (c *Conductor) applyCaps(entries []storeclient.Entry, readAt time.Time) {
	for _, e := range entries {
		c.applyCap(e)
	}
	c.caps.readAt = latest(c.caps.readAt, readAt)
	c.caps.hasNews = true
}

// applyCap applies the stored division of one cap, unless a newer one is known.
func (c *Conductor) applyCap(e storeclient.Entry) {
	d := c.caps.divisions[e.Key]
	if d == nil {
		d = &capDivision{}
		c.caps.divisions[e.Key] = d
	}
	if e.Revision <= d.revision {
		return
	}
	record, err := allotter.Decode(e.Value)
	if err != nil {
		c.options.Log.Error().Str("key", e.Key).Err(err).Msg("conductor: division of a cap can't be used, nothing of the organisation starts")
	}
	*d = capDivision{record: record, revision: e.Revision, isUnusable: err != nil}
}

// divideCaps reads what the other shards hold and want of the caps of organisations, tells
// the planner what this shard may use, and stores what it takes or gives back.
func (c *Conductor) divideCaps(ctx context.Context, now time.Time) {
	if now.Before(c.caps.nextDecisionAt) {
		return
	}
	c.caps.nextDecisionAt = now.Add(capsInterval)
	organisations := c.planner.CappedOrganisations()
	if len(organisations) == 0 {
		return
	}
	c.readCaps(ctx, now)
	c.decideCaps(ctx, organisations)
	if now.Sub(c.caps.lastMetrics) > capMetricsInterval {
		c.caps.lastMetrics = now
		c.setCapMetrics()
	}
}

func (c *Conductor) readCaps(ctx context.Context, now time.Time) {
	isStale := slices.ContainsFunc(slices.Collect(maps.Values(c.caps.loweredAt)), func(at time.Time) bool { return !c.caps.readAt.After(at) })
	if c.caps.isReading || now.Sub(c.caps.lastReadAt) < capsReadInterval && !isStale {
		return
	}
	c.caps.isReading, c.caps.lastReadAt = true, now
	epoch := c.epoch
	c.background.Go(func() {
		bounded, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		entries, _, err := c.options.Store.Range(bounded, capsPrefix)
		if err != nil {
			waiter.Wait(ctx, storeRetryDelay)
		}
		c.post(ctx, func() {
			if c.role != "owning" || c.epoch != epoch {
				return
			}
			c.caps.isReading = false
			if err == nil {
				c.applyCaps(entries, now)
			}
		})
	})
}

// capWrite is a change of one division that is being stored.
type capWrite struct {
	organisation, key string
	record            allotter.Record
	// limit is the cap from which the change was decided.
	limit planner.Resources
	// before is the division when the write was sent.
	before capDivision
}

// decideCaps tells the planner what this shard may use of each cap, and stores the changes
// that follow from the demand. Nothing is decided before the divisions were read.
func (c *Conductor) decideCaps(ctx context.Context, organisations []string) {
	if c.caps.readAt.IsZero() {
		return
	}
	hasNews := c.caps.hasNews
	c.caps.hasNews = false
	if hasNews {
		c.inheritParts(organisations)
	}
	demands := c.planner.CapDemands()
	var writes []capWrite
	first, _ := slices.BinarySearch(organisations, c.caps.next)
	c.caps.next = ""
	for _, name := range slices.Concat(organisations[first:], organisations[:first]) {
		limit, key := c.planner.Cap(name), capKey(name)
		d, demand := c.caps.divisions[key], demands[name]
		if demand == (planner.CapDemand{}) && (d == nil || !hasNews && !d.isUncertain) {
			continue
		}
		if d == nil {
			d = &capDivision{}
			c.caps.divisions[key] = d
		}
		if d.isUnusable {
			c.planner.SetPart(name, planner.Part{IsFrozen: true})
			continue
		}
		decision := allotter.Decide(d.record, c.options.Shard, limit, demand)
		part := planner.Part{Amount: decision.Part, IsFrozen: decision.IsOverAllotted || !c.caps.readAt.After(c.caps.loweredAt[name])}
		if d.isUncertain {
			part.Amount = part.Amount.Least(d.unanswered)
		}
		c.planner.SetPart(name, part)
		switch {
		case !decision.HasChanged && !d.isUncertain:
		case len(writes) < capsPerTransaction:
			writes = append(writes, capWrite{organisation: name, key: key, record: decision.Record, limit: limit, before: *d})
		case c.caps.next == "":
			c.caps.next, c.caps.hasNews = name, true
		}
	}
	switch {
	case len(writes) == 0:
	case c.caps.isWriting:
		c.caps.next, c.caps.hasNews = writes[0].organisation, true
	default:
		c.storeCaps(ctx, writes)
	}
}

// storeCaps stores changes of divisions. While a write that lowers a part has no answer,
// only the lower part may be used, since it may take effect late.
func (c *Conductor) storeCaps(ctx context.Context, writes []capWrite) {
	t := storeclient.Transaction{Expect: []storeclient.Expectation{{Key: c.keys.head(), Revision: c.headRevision}}}
	for _, w := range writes {
		value, err := w.record.Encode()
		if err != nil {
			c.options.Log.Error().Err(err).Str("organisation", w.organisation).Msg("conductor: division of a cap not encoded")
			return
		}
		d := c.caps.divisions[w.key]
		t.Expect = append(t.Expect, storeclient.Expectation{Key: w.key, Revision: d.revision})
		t.Writes = append(t.Writes, storeclient.Write{Key: w.key, Value: value})
		least := d.record.Parts[c.options.Shard].Least(w.record.Parts[c.options.Shard])
		if d.isUncertain {
			least = least.Least(d.unanswered)
		}
		d.unanswered, d.isUncertain = least, true
	}
	c.caps.isWriting = true
	c.transact(ctx, t, capsOperation, func(revision uint64, err error) {
		c.caps.isWriting = false
		// The transaction may have shown that the ownership is lost.
		if c.role == "owning" {
			c.finishCapWrite(ctx, writes, revision, err)
		}
	})
}

// finishCapWrite applies the outcome of a write. After a conflict the entries of the
// records as they are follow with the error, and the writes of those that haven't changed
// are sent again at once, so that a conflict delays only its own record.
func (c *Conductor) finishCapWrite(ctx context.Context, writes []capWrite, revision uint64, err error) {
	var conflict *storeclient.ExpectationError
	var refused *storeclient.RefusedError
	var limited *storeclient.LimitError
	switch {
	case err == nil:
		for _, w := range writes {
			if d := c.caps.divisions[w.key]; revision > d.revision {
				*d = capDivision{record: w.record, revision: revision}
			}
			part := w.record.Parts[c.options.Shard]
			c.options.Log.Info().Str("organisation", w.organisation).Str("shard", c.options.Shard).Int64("milli_cpu", part.CPU).Int64("memory_mb", part.Memory).
				Msg("conductor: part of a cap stored")
		}
		return
	case errors.As(err, &conflict):
		for _, e := range conflict.Current {
			if strings.HasPrefix(e.Key, capsPrefix) {
				c.applyCap(e)
			}
		}
		c.restoreDivisions(writes)
		c.caps.nextDecisionAt, c.caps.hasNews = c.options.Now().Add(capsRetryDelay), true
		rest := slices.DeleteFunc(slices.Clone(writes), func(w capWrite) bool {
			sent := w.before.revision
			return conflict.Revision(w.key) != sent || c.caps.divisions[w.key].revision != sent || c.planner.Cap(w.organisation) != w.limit
		})
		// An answer that lacks the changed entry would have the same writes sent for ever.
		if len(rest) > 0 && len(rest) < len(writes) {
			c.storeCaps(ctx, rest)
		}
	case errors.As(err, &refused), errors.As(err, &limited):
		c.restoreDivisions(writes)
		c.caps.nextDecisionAt = c.options.Now().Add(storeRetryDelay)
	default:
		c.caps.nextDecisionAt = c.options.Now().Add(storeRetryDelay)
	}
}

// restoreDivisions records that a write had no effect. An earlier one without an answer may
// still take effect as long as the revision is the same.
func (c *Conductor) restoreDivisions(writes []capWrite) {
	for _, w := range writes {
		if d := c.caps.divisions[w.key]; d.revision == w.before.revision {
			*d = w.before
		}
	}
}

func (c *Conductor) setCapMetrics() {
	c.metrics.caps.Reset()
	for _, u := range c.planner.OrganisationUsages() {
		for kind, r := range map[string]planner.Resources{"used": u.Used, "blocked": u.Blocked, "part": u.Part, "cap": u.Cap} {
			c.metrics.caps.WithLabelValues(u.Name, "milli_cpu", kind).Set(float64(r.CPU))
			c.metrics.caps.WithLabelValues(u.Name, "memory_mb", kind).Set(float64(r.Memory))
			c.metrics.caps.WithLabelValues(u.Name, "gpu", kind).Set(float64(r.GPU))
		}
	}
}
