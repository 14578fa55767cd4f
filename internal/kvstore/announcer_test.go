package kvstore

import (
	"fmt"
	"testing"

	"guavayoke/internal/peer"
)

// TestAnnouncersPerDomain checks that of the hosts that are up, announcersPerDomain consider
// themselves announcers in each failure domain, or all if there are fewer.
func TestAnnouncersPerDomain(t *testing.T) {
	cases := map[string]struct {
		domains, hosts, down, want int
	}{
		"Single":    {1, 1, 0, 1},
		"Pair":      {3, 2, 0, 6},
		"Many":      {5, 20, 0, 10},
		"HostsDown": {5, 20, 7, 10},
		"OneLeft":   {2, 3, 2, 2},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			var members []peer.Member
			for d := range c.domains {
				for n := range c.hosts {
					m := peer.Member{Incarnation: fmt.Sprint(d, "-", n), FailureDomain: fmt.Sprint(d), State: peer.Alive}
					if n < c.down {
						m.State = peer.Unreachable
					}
					members = append(members, m)
				}
			}
			got := 0
			for i, m := range members {
				others := append(append([]peer.Member{}, members[:i]...), members[i+1:]...)
				if m.Up() && isAnnouncer(m, others) {
					got++
				}
			}
			if got != c.want {
				t.Errorf("%d hosts are announcers, want %d", got, c.want)
			}
		})
	}
}
