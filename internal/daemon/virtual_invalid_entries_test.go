package daemon

import (
	"context"
	"fmt"
	"testing"
	"time"

	"guavayoke/platform/standin"
)

// TestVirtualInvalidEntryOfServer checks what becomes of servers that run tasks while another
// program keeps overwriting their entries: what runs there ends as usual and is started nowhere
// else, nothing new is started there, and they are used again when it has ended.
func TestVirtualInvalidEntryOfServer(t *testing.T) {
	const (
		servers = 2
		// overwritten is longer than a lease and the reads of the list of servers after it.
		overwritten = 4 * time.Second
		// follows is a time in which an owner has read the list.
		follows = 1500 * time.Millisecond
	)
	job := func(runTime time.Duration) string {
		return fmt.Sprintf(simJobFormat, runTime.Milliseconds(), 2, runTime.Milliseconds())
	}
	tested := map[string]bool{
		"UnknownState": true, "DeepLists": true, "Port99999": true, "OpenBracket": true, "NoZone": true, "CPUMax64": true, "MemoryMin64": true, "ManyLabels": true,
	}
	for i, e := range standin.InvalidEntries("booking", "server0-0:1", "domain0") {
		if !tested[e.Name] {
			continue // The tests of the adapter have all of them.
		}
		t.Run(e.Name, func(t *testing.T) {
			simulate(t, 1, 2, servers, func(s *simulation) {
				putConfiguration(t, s.store, 1)
				time.Sleep(3 * time.Second)
				first := make(chan response, 1)
				go func() {
					got, _ := s.send(s.hosts[0], "POST", "/jobs/0000000000000001", job(overwritten), 2*overwritten)
					first <- got
				}()
				time.Sleep(500 * time.Millisecond)
				ctx, cancel := context.WithTimeout(context.Background(), overwritten)
				defer cancel()
				ended := make(chan error, 1)
				go func() {
					for ctx.Err() == nil {
						for n := range servers {
							own := standin.InvalidEntries("booking", fmt.Sprintf("server0-%d:1", n), "domain0")
							s.store.Put(fmt.Sprintf("servers/server0-%d", n), own[i].Value)
						}
						time.Sleep(20 * time.Millisecond)
					}
					ended <- ctx.Err()
				}()
				time.Sleep(follows)
				if got, err := s.send(s.hosts[1], "POST", "/jobs/0000000000000002", job(100*time.Millisecond), time.Second); err == nil && got.status == 200 || s.servers.Starts("0000000000000002") > 0 {
					t.Errorf("a task was started on a server with an invalid entry: %+v, %v", got, err)
				}
				if got := <-first; got.status != 200 || s.servers.Starts("0000000000000001") != 2 {
					t.Errorf("the running job was answered %d after %d starts", got.status, s.servers.Starts("0000000000000001"))
				}
				<-ended
				time.Sleep(follows)
				if got, err := s.send(s.hosts[1], "POST", "/jobs/0000000000000003", job(100*time.Millisecond), time.Second); err != nil || got.status != 200 {
					t.Errorf("after the servers have written their entries: %+v, %v", got, err)
				}
				for _, v := range s.servers.Violations() {
					t.Error(v)
				}
			})
		})
	}
}
