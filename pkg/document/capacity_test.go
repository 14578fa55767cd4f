package document

import (
	"encoding/json"
	"fmt"
	"testing"
)

// BenchmarkDecode measures how long Decode takes by the numbers of teams and
// services of the document.
func BenchmarkDecode(b *testing.B) {
	for _, n := range [][2]int{{2, 1}, {20, 5}, {200, 20}} {
		b.Run(fmt.Sprintf("%dx%d", n[0], n[1]), func(b *testing.B) {
			d, err := Decode(readExample(b))
			if err != nil {
				b.Fatal(err)
			}
			team, service := d.Teams[0], d.Services[0]
			d.Teams, d.Services = nil, nil
			for i := range n[0] {
				team.Name = fmt.Sprintf("team%d", i)
				d.Teams = append(d.Teams, team)
			}
			for i := range n[1] {
				service.Name = fmt.Sprintf("service%d", i)
				d.Services = append(d.Services, service)
			}
			raw, err := json.Marshal(d)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(raw)), "document-bytes")
			for range b.N {
				if _, err := Decode(raw); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
