package daemon

import (
	"fmt"
	"testing"
	"time"

	"guavayoke/platform/standin"
)

// TestVirtualCapacityShrinksUnseen guards against starts over the capacity of a server that has
// shrunk while the store does not serve the owner of its failure domain.
func TestVirtualCapacityShrinksUnseen(t *testing.T) {
	cases := map[string]func(s *simulation, sc *scenario) (end func()){
		"Served": func(*simulation, *scenario) func() { return func() {} },
		"OwnerRefused": func(s *simulation, sc *scenario) func() {
			return sc.injectStoreFault(standin.StoreFaults{RejectedHosts: map[string]bool{s.hosts[0].set.Name: true}})
		},
		"OwnerCutOff": func(s *simulation, sc *scenario) func() { return sc.cutLink(s.hosts[0].set.Name, "store", true) },
	}
	for name, begin := range cases {
		t.Run(name, func(t *testing.T) {
			simulate(t, 1, 3, 2, func(s *simulation) {
				putConfiguration(t, s.store, 1)
				time.Sleep(8 * time.Second)
				sc := &scenario{simulation: s}
				end := begin(s, sc)
				time.Sleep(time.Second)
				s.servers.SetCapacity(0, 40)
				s.servers.SetCapacity(1, 40)
				// Two jobs of eight tasks of four cores ask for all that the servers had.
				for n := range 60 {
					id := fmt.Sprintf("%016x", n)
					go func() {
						_, _ = s.send(s.hosts[1+n%2], "POST", "/jobs/"+id, fmt.Sprintf(simJobFormat, 300, 8, 300), time.Second)
					}()
					time.Sleep(150 * time.Millisecond)
				}
				for _, v := range s.servers.Violations() {
					t.Error(v)
					break
				}
				end()
				time.Sleep(2 * time.Second)
			})
		})
	}
}
