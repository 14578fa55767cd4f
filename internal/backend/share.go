package backend

// Shares of slots: which entry host may use which slots of the backend servers.
//
//  1. Every slot of a backend server belongs to one entry host in the server's
//     failure domain or, if the domain has no entry host, to one of all entry hosts.
//  2. No host owns more than an equal share, rounded up, of the slots of a service
//     in a domain.
//  3. Within the limit of rule 2, a slot belongs to the host with the highest hash
//     of host, server and slot number (rendezvous hashing), so that adding or
//     removing one host or server moves few other slots.
//  4. Hosts that have the same lists of hosts and servers compute the same shares.
//     They exchange no messages for this.

import (
	"encoding/binary"
	"sort"

	"github.com/cespare/xxhash/v2"
)

// Server is a backend server.
type Server struct {
	Name          string
	Service       string
	Address       string
	FailureDomain string
	// Slots is the number of tasks that the server runs at the same time.
	Slots int
	// Leaving is set once the server accepts no new tasks.
	Leaving bool
}

// Host is an entry host that takes part in the division of slots.
type Host struct {
	// ID is the incarnation of the host.
	ID            string
	FailureDomain string
	// LatencySeconds is the one-way latency to the host as measured by this host.
	LatencySeconds float64
}

// SlotRef identifies one slot of a backend server.
type SlotRef struct {
	Server string
	Index  int
}

// Shares returns the slots that the host self owns, in a deterministic order.
func Shares(self string, servers []Server, hosts []Host) []SlotRef {
	var own []SlotRef
	for _, g := range groupServers(servers) {
		owners := ownersFor(g[0].FailureDomain, hosts)
		if len(owners) > 0 {
			own = append(own, assign(self, g, owners)...)
		}
	}
	return own
}

// groupServers groups servers by service and failure domain and sorts them by name.
func groupServers(servers []Server) [][]Server {
	sorted := append([]Server(nil), servers...)
	sort.Slice(sorted, func(i, j int) bool {
		a, b := sorted[i], sorted[j]
		if a.Service != b.Service {
			return a.Service < b.Service
		}
		if a.FailureDomain != b.FailureDomain {
			return a.FailureDomain < b.FailureDomain
		}
		return a.Name < b.Name
	})
	var groups [][]Server
	for i, s := range sorted {
		if i == 0 || sorted[i-1].Service != s.Service || sorted[i-1].FailureDomain != s.FailureDomain {
			groups = append(groups, nil)
		}
		groups[len(groups)-1] = append(groups[len(groups)-1], s)
	}
	return groups
}

// ownersFor returns the sorted IDs of the hosts that share a domain's slots (rule
// 1).
func ownersFor(domain string, hosts []Host) []string {
	var local, all []string
	for _, h := range hosts {
		all = append(all, h.ID)
		if h.FailureDomain == domain {
			local = append(local, h.ID)
		}
	}
	if len(local) == 0 {
		local = all
	}
	sort.Strings(local)
	return local
}

// assign assigns the slots of a group to owners and returns those of self (rules 2,
// 3).
func assign(self string, group []Server, owners []string) []SlotRef {
	total := 0
	for _, s := range group {
		total += s.Slots
	}
	limit := (total + len(owners) - 1) / len(owners)
	seeds := make([]uint64, len(owners))
	for i, o := range owners {
		seeds[i] = xxhash.Sum64String(o)
	}
	owned := make([]int, len(owners))
	var own []SlotRef
	for _, s := range group {
		server := xxhash.Sum64String(s.Name)
		for k := range s.Slots {
			best := pickOwner(seeds, owned, limit, server, k)
			owned[best]++
			if owners[best] == self {
				own = append(own, SlotRef{s.Name, k})
			}
		}
	}
	return own
}

// pickOwner returns the index of the owner with the highest hash among those that
// own fewer slots than the limit.
func pickOwner(seeds []uint64, owned []int, limit int, server uint64, slot int) int {
	best, bestHash := -1, uint64(0)
	var b [24]byte
	binary.LittleEndian.PutUint64(b[8:], server)
	binary.LittleEndian.PutUint64(b[16:], uint64(slot))
	for i, seed := range seeds {
		if owned[i] >= limit {
			continue
		}
		binary.LittleEndian.PutUint64(b[:], seed)
		if h := xxhash.Sum64(b[:]); best < 0 || h > bestHash {
			best, bestHash = i, h
		}
	}
	return best
}
