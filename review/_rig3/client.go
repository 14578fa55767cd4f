package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

const (
	queueHost = "booking.example"
	// retransmit is retransmit-ms of the site.
	retransmit = 1300 * time.Millisecond
)

// request sends one request on a connection of its own and returns the status, the body and the
// Retry-After header. The status is 0 if there was no answer.
func request(method, address, path, body, timeoutMs string, connected func(net.Conn), timeout time.Duration) (int, string, string) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer c.Close()
	if connected != nil {
		connected(c)
	}
	_ = c.SetDeadline(time.Now().Add(timeout))
	extra := ""
	if timeoutMs != "" {
		extra = "X-Guavayoke-Request-Timeout-Ms: " + timeoutMs + "\r\n"
	}
	if body != "" {
		extra += fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n", len(body))
	}
	fmt.Fprintf(c, "%s %s HTTP/1.1\r\nHost: %s\r\n%sConnection: close\r\n\r\n%s", method, path, queueHost, extra, body)
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, err.Error(), ""
	}
	return res.StatusCode, strings.TrimSpace(string(b)), res.Header.Get("Retry-After")
}

// post submits a job at a daemon and records the answer, which comes when the job has ended.
func (c *cluster) post(d *daemon, route, id, body, timeoutMs string) <-chan int {
	done := make(chan int, 1)
	c.rec.add("client: POST /%s/%s to %s: %s", route, id, d.name, body)
	go func() {
		status, text, _ := request("POST", d.front, "/"+route+"/"+id, body, timeoutMs, nil, time.Minute)
		c.rec.add("client: POST /%s/%s at %s is answered %d %s", route, id, d.name, status, text)
		done <- status
	}()
	return done
}
