package daemon

import (
	"fmt"
	"sync"
	"time"

	"guavayoke/platform/standin"
)

// virtualFault begins a fault and returns how it ends.
type virtualFault struct {
	planned bool
	begin   func(d *virtualDay) (end func())
}

var virtualFaults = map[string]virtualFault{
	"Kill": {false, func(d *virtualDay) func() {
		h := d.take()
		if h == nil {
			return func() {}
		}
		d.net.SetDown(h.set.Name, true)
		h.kill()
		return func() { d.restart(h, true) }
	}},
	"HostsCut":        {false, func(d *virtualDay) func() { return d.cut(d.any().set.Name, d.any().set.Name, true) }},
	"HostsCutOneWay":  {false, func(d *virtualDay) func() { return d.cut(d.any().set.Name, d.any().set.Name, false) }},
	"HostCutOff":      {false, func(d *virtualDay) func() { return d.cutOff(d.any()) }},
	"DomainCutOff":    {false, func(d *virtualDay) func() { return d.cutDomains() }},
	"StoreCut":        {false, func(d *virtualDay) func() { return d.cut(d.any().set.Name, "store", true) }},
	"StoreCutOneWay":  {false, func(d *virtualDay) func() { return d.cut("store", d.any().set.Name, false) }},
	"ServerCut":       {false, func(d *virtualDay) func() { return d.cut(d.any().set.Name, d.anyServer(), true) }},
	"ServerCutOneWay": {false, func(d *virtualDay) func() { return d.cut(d.anyServer(), d.any().set.Name, false) }},
	"StoreDown":       {false, func(d *virtualDay) func() { return d.storeFault(standin.StoreFaults{Down: true}) }},
	"StoreBusy":       {false, func(d *virtualDay) func() { return d.storeFault(standin.StoreFaults{Busy: true}) }},
	"StoreSlow":       {false, func(d *virtualDay) func() { return d.storeFault(standin.StoreFaults{SlowMs: 600}) }},
	"StoreLosesAnswers": {false, func(d *virtualDay) func() {
		return d.storeFault(standin.StoreFaults{LostPercent: 40, SlowMs: 20})
	}},
	"StoreRefusesHosts": {false, func(d *virtualDay) func() {
		return d.storeFault(standin.StoreFaults{Refused: map[string]bool{d.any().set.Name: true, d.any().set.Name: true}})
	}},
	"HistoryGone": {false, func(d *virtualDay) func() {
		d.store.DiscardHistory()
		return func() {}
	}},
	"LeasesForgotten": {false, func(d *virtualDay) func() {
		d.store.ForgetLeases()
		return func() {}
	}},
	"ServerDark": {false, func(d *virtualDay) func() {
		n := d.rand.IntN(1 << 16)
		d.servers.SetDark(n, true, false)
		return func() { d.servers.SetDark(n, false, false) }
	}},
	"ServerReborn": {false, func(d *virtualDay) func() {
		n := d.rand.IntN(1 << 16)
		d.servers.SetDark(n, true, true)
		return func() { d.servers.SetDark(n, false, true) }
	}},
	"LateOrders": {false, func(d *virtualDay) func() {
		d.servers.SetFaults(standin.ServerFaults{LatePercent: 5, LateMs: 2000})
		return func() { d.servers.SetFaults(standin.ServerFaults{}) }
	}},
	"ClockStep": {false, func(d *virtualDay) func() {
		h := d.any()
		h.clockOff.Store(d.rand.Int64N(int64(2*dayClockOff)) - int64(dayClockOff))
		return func() { h.clockOff.Store(0) }
	}},
	"StoreDownLapsing": {false, func(d *virtualDay) func() {
		end := d.storeFault(standin.StoreFaults{Down: true})
		d.store.ForgetLeases()
		return end
	}},
	"PowerLoss": {false, func(d *virtualDay) func() {
		h := d.take()
		if h == nil {
			return func() {}
		}
		d.net.LosePower(h.set.Name)
		h.kill()
		return func() { d.restart(h, true) }
	}},
	"KillAll": {false, func(d *virtualDay) func() {
		killed := d.takeAll()
		for _, h := range killed {
			d.net.SetDown(h.set.Name, true)
			h.kill()
		}
		begun := time.Now()
		return func() {
			d.noHosts += time.Since(begun) + dayResend
			var back sync.WaitGroup
			for _, h := range killed {
				back.Go(func() { d.restart(h, true) })
			}
			back.Wait()
		}
	}},
	"ServerSlow": {false, func(d *virtualDay) func() {
		return d.serverFault(standin.ServerFault{SlowBy: 6.5})
	}},
	"ServerSheds":  {false, func(d *virtualDay) func() { return d.serverFault(standin.ServerFault{ShedPercent: 40}) }},
	"ServerResets": {false, func(d *virtualDay) func() { return d.serverFault(standin.ServerFault{ResetPercent: 40}) }},
	"ServerMute":   {false, func(d *virtualDay) func() { return d.serverFault(standin.ServerFault{MutePercent: 40}) }},
	"ForeignEntries": {false, func(d *virtualDay) func() {
		return d.store.WriteForeign(d.anyServer(), d.rand.IntN)
	}},
	"RunsFail": {false, func(d *virtualDay) func() {
		d.servers.SetFaults(standin.ServerFaults{FailPercent: 10})
		return func() { d.servers.SetFaults(standin.ServerFaults{}) }
	}},
	"ServerLeaves": {true, func(d *virtualDay) func() {
		n := d.rand.IntN(1 << 16)
		d.servers.SetLeaving(n, true)
		return func() { d.servers.SetLeaving(n, false) }
	}},
	"Stop": {true, func(d *virtualDay) func() {
		h := d.take()
		if h == nil {
			return func() {}
		}
		h.stop()
		return func() { d.restart(h, false) }
	}},
	"Configuration": {true, func(d *virtualDay) func() {
		d.configure()
		return func() {}
	}},
}

func (d *virtualDay) serverFault(f standin.ServerFault) func() {
	n := d.rand.IntN(1 << 16)
	d.servers.SetFault(n, f)
	return func() { d.servers.SetFault(n, standin.ServerFault{}) }
}

func (d *virtualDay) any() *virtualHost { return d.hosts[d.rand.IntN(len(d.hosts))] }

func (d *virtualDay) anyServer() string {
	return fmt.Sprintf("server%d-%d", d.rand.IntN(2), d.rand.IntN(3))
}

// take picks a host that is up and marks it as leaving; nil if the one that was
// drawn is not up.
func (d *virtualDay) take() *virtualHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	h := d.any()
	if d.leaving[h] {
		return nil
	}
	d.leaving[h] = true
	return h
}

// takeAll picks all hosts that are up and marks them as leaving.
func (d *virtualDay) takeAll() []*virtualHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	var up []*virtualHost
	for _, h := range d.hosts {
		if !d.leaving[h] {
			d.leaving[h] = true
			up = append(up, h)
		}
	}
	return up
}

func (d *virtualDay) cut(a, b string, both bool) func() {
	set := func(cut bool) {
		d.net.SetBlocked(a, b, cut)
		if both {
			d.net.SetBlocked(b, a, cut)
		}
	}
	set(true)
	return func() { set(false) }
}

// cutOff cuts a host from all but its callers.
func (d *virtualDay) cutOff(h *virtualHost) func() {
	ends := []func(){d.cut(h.set.Name, "store", true)}
	for _, o := range d.hosts {
		ends = append(ends, d.cut(h.set.Name, o.set.Name, true))
	}
	for domain := range 2 {
		for n := range 3 {
			ends = append(ends, d.cut(h.set.Name, fmt.Sprintf("server%d-%d", domain, n), true))
		}
	}
	return func() { callAll(ends) }
}

// cutDomains cuts the first domain off from the other one and from the store.
func (d *virtualDay) cutDomains() func() {
	var ends []func()
	for _, h := range d.hosts {
		if h.set.FailureDomain != "domain0" {
			continue
		}
		ends = append(ends, d.cut(h.set.Name, "store", true))
		for _, o := range d.hosts {
			if o.set.FailureDomain != "domain0" {
				ends = append(ends, d.cut(h.set.Name, o.set.Name, true))
			}
		}
		for n := range 3 {
			ends = append(ends, d.cut(h.set.Name, fmt.Sprintf("server1-%d", n), true))
		}
	}
	return func() { callAll(ends) }
}

func callAll(fs []func()) {
	for _, f := range fs {
		f()
	}
}

func (d *virtualDay) storeFault(f standin.StoreFaults) func() {
	d.store.SetFaults(f)
	return func() { d.store.SetFaults(standin.StoreFaults{}) }
}
