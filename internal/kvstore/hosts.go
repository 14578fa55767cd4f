package kvstore

// How a host keeps the platform's list of hosts up to date.

import (
	"cmp"
	"context"
	"slices"
	"time"
)

// rereadInterval is the time from one read of the list of hosts to the next one that RereadHosts
// causes. It bounds what many servers that restart cost.
const rereadInterval = 250 * time.Millisecond

// OnHosts registers a function that is called with the list of hosts, if it is
// known, and with each list that differs from the one before.
func (s *Service) OnHosts(f func([]Host)) { s.hosts.Listen(f) }

// HostsRead describes a read of the list of hosts that has ended.
type HostsRead struct {
	// Took is the time since the read began. The list is at least that old.
	Took time.Duration
	Err  error
}

// OnHostsRead registers a function that is called after each read of the list of hosts,
// whether it failed or not. If the list has changed, the functions of OnHosts have
// returned before.
func (s *Service) OnHostsRead(f func(HostsRead)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.onRead = append(s.onRead, f)
}

// hostsLoop reads the list of hosts regularly until ctx ends.
func (s *Service) hostsLoop(ctx context.Context) {
	interval := s.cfg.HostsInterval
	if s.cfg.IdleHostsInterval > 0 {
		interval = s.cfg.IdleHostsInterval
	}
	// The first interval varies too, as many hosts may have started at once.
	t := time.NewTicker(s.hostsWait(interval))
	defer t.Stop()
	// After a long call both channels may be ready, and select may choose the
	// ticker although ctx has ended.
	for ctx.Err() == nil {
		started := time.Now()
		s.readHosts(ctx)
		select {
		case <-s.rereadHosts:
			s.awaitReread(ctx, started)
			t.Reset(s.hostsWait(interval))
		case <-t.C:
			t.Reset(s.hostsWait(interval))
		case need := <-s.needHosts:
			interval = s.cfg.IdleHostsInterval
			if need || interval == 0 {
				interval = s.cfg.HostsInterval
			}
			t.Reset(s.hostsWait(interval))
		case <-ctx.Done():
		}
	}
}

// awaitReread waits until the list may be read again after a read that began at started.
func (s *Service) awaitReread(ctx context.Context, started time.Time) {
	select {
	case <-time.After(time.Until(started.Add(min(rereadInterval, s.cfg.HostsInterval)))):
	case <-ctx.Done():
	}
	// Calls up to now are met by the read that follows.
	select {
	case <-s.rereadHosts:
	default:
	}
}

// hostsWait returns the time until the next read of the list of hosts. It varies around
// IdleHostsInterval, so that hosts that began together don't read together.
func (s *Service) hostsWait(interval time.Duration) time.Duration {
	if interval == s.cfg.HostsInterval {
		return interval
	}
	return jitter(interval, s.cfg.Nonce())
}

// SetHostsNeeded sets whether this host needs an up-to-date list of hosts. The list
// is then read at once, and from then on every HostsInterval if need is true or
// every IdleHostsInterval, if set, otherwise.
func (s *Service) SetHostsNeeded(need bool) {
	select {
	case <-s.needHosts:
	default:
	}
	s.needHosts <- need
}

// RereadHosts reads the list of hosts soon, at most every rereadInterval.
func (s *Service) RereadHosts() {
	select {
	case s.rereadHosts <- struct{}{}:
	default: // The read that is due begins after this call.
	}
}

// readHosts reads the list of hosts and passes the outcome to the listeners.
func (s *Service) readHosts(ctx context.Context) {
	started := time.Now()
	err := s.updateHosts(ctx)
	s.mu.Lock()
	listeners := s.onRead
	s.mu.Unlock()
	for _, f := range listeners {
		f(HostsRead{time.Since(started), err})
	}
}

// updateHosts reads the list of hosts. If it has changed, updateHosts passes it to the
// listeners and the addresses of the entry hosts to the peer service. It returns the
// error of the store.
func (s *Service) updateHosts(ctx context.Context) error {
	list, err := s.readHostList(ctx)
	if err != nil || list.Unchanged {
		return err
	}
	slices.SortFunc(list.Hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	s.hostsVersion.Store(list.Version)
	s.hosts.Update(func(old []Host) ([]Host, bool) {
		if old != nil && slices.EqualFunc(old, list.Hosts, Host.Equal) {
			return nil, false
		}
		s.peers.SetSeeds(entryAddresses(list.Hosts))
		return list.Hosts, true
	})
	return nil
}

// entryAddresses returns the addresses of the entry hosts.
func entryAddresses(hosts []Host) []string {
	var out []string
	for _, h := range hosts {
		if h.Kind == EntryHost {
			out = append(out, h.Address)
		}
	}
	return out
}
