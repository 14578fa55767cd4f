package daemon

import "testing"

// TestDivideHost checks that the parts of a host leave room for what the daemon itself needs.
func TestDivideHost(t *testing.T) {
	cases := map[string]struct {
		memoryMB, files int
		// connections is the least number of connections that callers must get.
		connections int
	}{
		"Smallest": {64, 64, 32},
		"Small":    {144, 3075, 1000},
		"Usual":    {284, 4100, 2000},
		"Large":    {64 << 10, 1 << 20, 100_000},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			memory := int64(c.memoryMB) << 20
			l := divideHost(memory, c.files)
			connections, bytes := 0, l.jobBytes
			for _, p := range []struct {
				name        string
				connections int
				bytes       int64
			}{
				{"callers", l.callers.Connections, l.callers.Bytes},
				{"operators", l.operators.Connections, l.operators.Bytes},
				{"collectors", l.collectors.Connections, l.collectors.Bytes},
			} {
				if p.connections == 0 || p.bytes == 0 {
					t.Errorf("%s have no part", p.name)
				}
				connections += p.connections
				bytes += p.bytes
			}
			if l.peers.Connections < c.files || l.peers.Bytes < int64(c.files)*handshakeBytes {
				t.Errorf("peers can be refused before the descriptors run out: %+v", l.peers)
			}
			if connections > c.files*7/8 {
				t.Errorf("clients get %d of %d descriptors", connections, c.files)
			}
			if bytes > memory/2 {
				t.Errorf("clients get %d MB of %d MB, and their garbage as much", bytes>>20, c.memoryMB)
			}
			if l.callers.Connections < c.connections {
				t.Errorf("callers get %d connections, want %d", l.callers.Connections, c.connections)
			}
		})
	}
}
