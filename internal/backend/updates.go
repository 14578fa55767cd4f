package backend

import (
	"time"

	"guavayoke/internal/kvstore"
	"guavayoke/internal/peer"
	"guavayoke/pkg/document"
)

// membersChanged is called by the peer service with the new list of members.
func (s *Service) membersChanged(members []peer.Member) {
	s.enqueue(func(now time.Time) { s.setMembers(now, members) })
}

// setMembers shares the slots among this host and the members that are up.
func (s *Service) setMembers(now time.Time, members []peer.Member) {
	hosts := []Host{{ID: s.cfg.Self, FailureDomain: s.cfg.Domain}}
	for _, m := range members {
		if m.Up() {
			hosts = append(hosts, Host{ID: m.Incarnation, FailureDomain: m.FailureDomain, LatencySeconds: m.RTT.Seconds() / 2})
		}
	}
	s.hosts = hosts
	s.perform(s.dispatcher.SetHosts(now, hosts))
	s.updateConnectionLimits()
}

// documentApplied is called by kvstore.Service when a document has come into force.
func (s *Service) documentApplied(a *kvstore.AppliedConfiguration) {
	s.enqueue(func(now time.Time) {
		s.document = a.Document
		weights := map[string]float64{}
		for _, t := range a.Document.Teams {
			weights[t.Name] = float64(t.Weight)
		}
		s.perform(s.dispatcher.Configure(now, Policies(a.Document), weights))
		s.setServers(now)
	})
}

// Policies returns the dispatcher's policies for the services of a document.
func Policies(d *document.Document) []Policy {
	policies := make([]Policy, 0, len(d.Services))
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	for _, v := range d.Services {
		policies = append(policies, Policy{
			Service: v.Name, MemoryMB: v.MemoryMB,
			PriorRunTime: ms(v.PriorRunMs), MaxRunTime: ms(v.MaxRunMs),
			RetryBudget: float64(v.Retry.BudgetPercent) / 100, MaxAttempts: v.Retry.MaxAttempts,
			BackoffMin: ms(v.Retry.BackoffMinMs), BackoffMax: ms(v.Retry.BackoffMaxMs),
			MaxEjectedPercent: v.Ejection.MaxPercent, ProbeInterval: ms(v.Ejection.ProbeMs),
			WastedMessageCost: time.Duration(d.Measures.WastedMessageMs * float64(time.Millisecond)),
		})
	}
	return policies
}

// hostsChanged is called by kvstore.Service with the new list of hosts. It uses only
// the backend servers on it.
func (s *Service) hostsChanged(hosts []kvstore.Host) {
	s.enqueue(func(now time.Time) {
		s.servers = s.servers[:0]
		for _, h := range hosts {
			if h.Kind == kvstore.BackendServer {
				s.servers = append(s.servers, Server{
					Name: h.Name, Service: h.Service, Address: h.Address, FailureDomain: h.FailureDomain, Leaving: h.Leaving,
				})
			}
		}
		s.setServers(now)
	})
}

// setServers combines the platform's list of servers with the number of slots that
// the document gives for each service.
func (s *Service) setServers(now time.Time) {
	if s.document == nil {
		return
	}
	var servers []Server
	for _, v := range s.servers {
		if svc, ok := s.document.Service(v.Service); ok {
			v.Slots = svc.Slots
			servers = append(servers, v)
		}
	}
	s.perform(s.dispatcher.SetServers(now, servers))
	s.updateConnectionLimits()
}

// updateConnectionLimits divides the connections of each server among the entry
// hosts. A host may keep as many idle connections as it owns slots, or an equal share
// of the connections that remain after all slots, if that is more.
func (s *Service) updateConnectionLimits() {
	if s.document == nil {
		return
	}
	maxIdle := map[string]int{}
	for _, v := range s.servers {
		if svc, ok := s.document.Service(v.Service); ok {
			maxIdle[v.Address] = max(s.dispatcher.OwnSlots(v.Service, v.Name), (svc.Connections-svc.Slots)/len(s.hosts))
		}
	}
	s.clients.setMaxIdle(maxIdle)
}
