package worker_test

import (
	"fmt"
	"testing"
	"time"
)

// busyDomain is a load that fits into all servers, though not into those of the domain where
// most callers are.
var busyDomain = contention{overload: 0.7, length: 9 * time.Second, firstDomainShare: 0.5}

// maxDomainSpread bounds by how much the callers of one domain may be served on time less
// than those of another while there is room for all.
const maxDomainSpread = 0.01

// TestCallersOfBusyDomainGetRoomElsewhere guards against jobs that wait, or are refused, in one
// failure domain while another has room.
func TestCallersOfBusyDomainGetRoomElsewhere(t *testing.T) {
	var all []*contentionJob
	for seed := range uint64(contentionSeeds) {
		jobs := busyDomain.jobs(seed)
		busyDomain.simulate(t, seed, jobs)
		all = append(all, jobs...)
	}
	r := busyDomain.report(all)
	t.Log(r)
	onTime := make([]float64, contentionDomains)
	for host := range contentionDomains * contentionHosts {
		onTime[host/contentionHosts] += r.onTime["Host"+fmt.Sprint(host)] / contentionHosts
	}
	for d, n := range onTime[1:] {
		if n-onTime[0] > maxDomainSpread {
			t.Errorf("the callers of domain 0 are served on time to %.3f, those of domain %d to %.3f", onTime[0], d+1, n)
		}
	}
}
