package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

func init() { cases[12] = leaveWithUnreadBytes }

// leaveWithUnreadBytes: a client submits a job and, while it waits, asks for the job's state on the
// same connection, as HTTP/1.1 permits. The connection is reset. The client submits the job again,
// as after any broken connection, and its request reaches another daemon.
func leaveWithUnreadBytes(c *cluster) (verdict, error) {
	const id = "5c0e7a21d94b36fa"
	err := c.start([]string{"zone-1", "zone-1", "zone-2"}, func() error {
		for _, x := range [][3]string{{"i-1", "zone-1", "a"}, {"i-2", "zone-2", "a"}} {
			if err := c.addExecutor(x[0], x[1], x[2], 16000); err != nil {
				return err
			}
		}
		return nil
	})
	if err != nil {
		return verdict{}, err
	}
	time.Sleep(4 * time.Second)
	// Clients of zone-2 hand in jobs of the same size.
	for i := range 5 {
		<-c.post(c.daemons[2], "jobs", fmt.Sprintf("6d1f8b32ea05c7%02d", i), `{"spec":"60","steps":[{"count":2,"cpu":6800,"mem-mb":64,"estimate-ms":60}],"best-effort":true}`, "1500")
	}
	time.Sleep(300 * time.Millisecond)
	const ms = 3600
	body := fmt.Sprintf(`{"spec":"%d","steps":[{"count":2,"cpu":6800,"mem-mb":64,"estimate-ms":900}],"best-effort":true}`, ms)
	var first net.Conn
	var mu sync.Mutex
	answered := make(chan int, 1)
	c.rec.add("client: POST /jobs/%s to edge-1: %s", id, body)
	go func() {
		status, text, _ := request("POST", c.daemons[0].front, "/jobs/"+id, body, "10000", func(conn net.Conn) {
			mu.Lock()
			defer mu.Unlock()
			first = conn
		}, time.Minute)
		c.rec.add("client: POST /jobs/%s at edge-1 is answered %d %s", id, status, text)
		answered <- status
	}()
	time.Sleep(300 * time.Millisecond)
	mu.Lock()
	c.rec.add("client: GET /jobs/%s to edge-1 on the same connection", id)
	fmt.Fprintf(first, "GET /jobs/%s HTTP/1.1\r\nHost: %s\r\n\r\n", id, queueHost)
	mu.Unlock()
	time.Sleep(200 * time.Millisecond)
	if c.trouble {
		mu.Lock()
		if tc, ok := first.(*net.TCPConn); ok {
			_ = tc.SetLinger(0)
		}
		_ = first.Close()
		mu.Unlock()
		c.rec.add("the client's connection to edge-1 is reset")
		<-answered
		time.Sleep(retransmit)
		status := <-c.post(c.daemons[1], "jobs", id, body, "10000")
		c.rec.add("the second request is answered %d", status)
	} else {
		<-answered
	}
	time.Sleep(500 * time.Millisecond)
	if text := c.overlap(); text != "" {
		return verdict{true, "TWICE: " + text}, nil
	}
	return verdict{text: "no task ran twice at the same time"}, nil
}
