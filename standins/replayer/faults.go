package replayer

import (
	"net/netip"
	"time"
)

// startFault starts a fault and schedules its end.
func (w *World) startFault(f Fault) {
	n := int(f.Share * float64(len(w.machines)))
	affected := w.rng.Perm(len(w.machines))[:n]
	end := func(do func()) { w.schedule(w.now.Add(f.For), do) }
	each := func(do func(m *machine, on bool)) {
		for _, i := range affected {
			do(w.machines[i], true)
			end(func() { do(w.machines[i], false) })
		}
	}
	switch f.Kind {
	case "silent":
		each(func(m *machine, on bool) { m.silent = on })
	case "hang":
		each(func(m *machine, on bool) { m.hangs = on })
	case "fail":
		each(func(m *machine, on bool) { m.fails = on })
	case "slow":
		each(func(m *machine, on bool) { m.slowness = map[bool]float64{true: f.Factor, false: 1}[on] })
	case "drain":
		each(func(m *machine, on bool) { m.Draining, m.Remaining = on, f.For })
	case "crash":
		for _, i := range affected {
			if w.machines[i].isDown {
				continue
			}
			w.endProcess(w.machines[i])
			w.machines[i].isOff = true
			end(func() { w.startProcess(i) })
		}
	case "restart", "restart_same_id":
		for _, i := range affected {
			w.restart(i, f.For, f.Kind == "restart_same_id", int(f.Factor))
		}
	case "late":
		w.delayedShare = f.Share
		end(func() { w.delayedShare = 0 })
	case "late_polls":
		w.delayedPollShare = f.Share
		end(func() { w.delayedPollShare = 0 })
	case "outage":
		w.storeDown = true
		end(func() { w.storeDown = false })
	case "burst":
		w.burst = f.Factor
		end(func() { w.burst = 1 })
	case "takeover":
		w.takeOver()
	case "split":
		// The owner and the affected workers are partitioned from the other workers,
		// which get a new owner 2 s later.
		w.partitioned = map[netip.AddrPort]bool{}
		for _, i := range affected {
			w.partitioned[w.machines[i].Address] = true
		}
		w.schedule(w.now.Add(2*time.Second), w.addOwner)
		end(func() { w.partitioned = nil })
	default:
		panic("unknown fault " + f.Kind)
	}
}

// takeOver replaces the owner. During an outage of the store no owner can take
// over.
func (w *World) takeOver() {
	if w.storeDown {
		w.schedule(w.now.Add(tick), w.takeOver)
		return
	}
	w.owners = nil
	w.addOwner()
}
